import { type Member, type PrefixEntry, PrefixMirror } from '@galenatiller/store';
import type { Duty, DutyName } from '@galenatiller/types';

import type { DutiesOptions } from './dutyTypes.js';
import { HeldDuty } from './heldDuty.js';
import { decodeDuty, DUTY_PREFIX, getDutyKey } from './wireDuties.js';

/** Changes are returned at once; this only limits how often a read without changes is repeated. */
const WATCH_WAIT_MS = 5_000;

/** Time for the response beyond the wait. */
const RESPONSE_MARGIN_MS = 800;

/** Time in which the entries are written that release the duties. */
const RELEASE_LIMIT_MS = 600;

const RELEASE_POLL_MS = 20;

/** The duties that one router performs at a time, and the mirror of their entries in the store. */
export class Duties {
  private readonly held: readonly HeldDuty[];

  private readonly mirror: PrefixMirror;

  private constructor(private readonly opts: DutiesOptions) {
    this.held = opts.names.map((duty) => HeldDuty.create({ ...opts, duty }));
    this.mirror = PrefixMirror.create({
      ...opts,
      prefix: DUTY_PREFIX,
      waitMs: WATCH_WAIT_MS,
      responseMarginMs: RESPONSE_MARGIN_MS,
      onEvent: opts.onMirrorEvent,
      onEntries: (entries) =>
        this.held.forEach((duty) => {
          const key = getDutyKey(duty.name);
          put(
            duty,
            entries.find((entry) => entry.key === key),
          );
        }),
      onChange: (change) => {
        const key = change.kind === 'put' ? change.entry.key : change.key;
        this.held
          .filter((duty) => getDutyKey(duty.name) === key)
          .forEach((duty) => put(duty, change.kind === 'put' ? change.entry : undefined));
      },
    });
    opts.storeEra.onRise(() => this.held.forEach((duty) => duty.onRestored()));
  }

  /** Creates duties of which nothing is known yet. */
  static create(opts: DutiesOptions): Duties {
    return new Duties(opts);
  }

  /** The prefix of the entries in the store. */
  static get prefix(): string {
    return DUTY_PREFIX;
  }

  /** A duty that this router may be asked to perform; undefined if the settings don't name it. */
  find(name: DutyName): Duty | undefined {
    return this.held.find((duty) => duty.name === name);
  }

  all(): readonly Duty[] {
    return this.held;
  }

  /** Sets the live routers. */
  setMembers(members: readonly Member[]): void {
    this.held.forEach((duty) => duty.setMembers(members));
  }

  /** Stops acting at once, and ends when the store has it or soon after. */
  async release(): Promise<void> {
    const { timer } = this.opts;
    this.held.forEach((duty) => duty.stop());
    const untilMs = timer.nowMs() + RELEASE_LIMIT_MS;
    while (timer.nowMs() < untilMs && !this.held.every((duty) => duty.isReleased)) {
      await timer.sleep({ delayMs: RELEASE_POLL_MS });
    }
  }

  /** Follows the entries, and takes and keeps duties until the signal aborts. */
  async run({ signal }: { readonly signal: AbortSignal }): Promise<void> {
    await Promise.all([
      this.mirror.run({ signal }),
      ...this.held.map((duty) => duty.run({ signal })),
    ]);
  }
}

function put(duty: HeldDuty, found: PrefixEntry | undefined): void {
  duty.onMirrored(found && { entry: decodeDuty(found.value), revision: found.revision });
}
