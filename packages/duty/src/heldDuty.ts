import type { Member } from '@galenatiller/store';
import { whenAborted } from '@galenatiller/tasks';
import type { Duty, DutyHolding, DutyName } from '@galenatiller/types';

import { DutyBelief } from './dutyBelief.js';
import type { StoredDuty } from './dutyEntry.js';
import { DutyHolder } from './dutyHolder.js';
import type { DutiesOptions } from './dutyTypes.js';
import { runDuty } from './runDuty.js';

/** Options of {@link HeldDuty.create}. */
export type HeldDutyOptions = Omit<DutiesOptions, 'names'> & { readonly duty: DutyName };

/** One duty as its users see it, and the task that takes and keeps it. */
export class HeldDuty implements Duty {
  readonly name: DutyName;

  private readonly holder: DutyHolder;

  private readonly belief: DutyBelief;

  private readonly listeners = new Set<() => void>();

  private changed = new AbortController();

  /** What the listeners were told last. */
  private notified = '';

  private constructor(private readonly opts: HeldDutyOptions) {
    this.name = opts.duty;
    this.holder = DutyHolder.create(opts);
    this.belief = DutyBelief.create({ ...opts, holder: this.holder });
  }

  /** Creates a duty of which nothing is known yet. */
  static create(opts: HeldDutyOptions): HeldDuty {
    return new HeldDuty(opts);
  }

  readonly current = (): DutyHolding | undefined => this.holder.current();

  readonly candidates = (): readonly string[] => this.holder.candidates();

  readonly onRefused = (token: number): void => {
    this.holder.onRefused(token);
    this.wake();
  };

  readonly onChange = (notify: () => void): (() => void) => {
    this.listeners.add(notify);
    return () => this.listeners.delete(notify);
  };

  readonly renewToken = async (opts: { readonly signal: AbortSignal }): Promise<boolean> => {
    const { signal } = opts;
    const before = this.holder.current();
    this.holder.requestRenewal();
    while (before && !signal.aborted) {
      const now = this.holder.current();
      if (!now || now.token > before.token) {
        return now !== undefined;
      }
      const waiting = new AbortController();
      const stopListening = this.onChange(() => waiting.abort());
      this.wake();
      await whenAborted(AbortSignal.any([signal, waiting.signal]));
      stopListening();
    }
    return false;
  };

  get isReleased(): boolean {
    return this.holder.isReleased;
  }

  setMembers(members: readonly Member[]): void {
    this.holder.setMembers(members);
    this.wake();
  }

  onMirrored(read: StoredDuty | undefined): void {
    this.holder.onMirrored(read);
    this.wake();
  }

  onRestored(): void {
    this.holder.onRestored();
    this.wake();
  }

  stop(): void {
    this.holder.stop();
    this.wake();
  }

  /** Takes and keeps the duty until the signal aborts. */
  async run({ signal }: { readonly signal: AbortSignal }): Promise<void> {
    const { opts, holder } = this;
    await runDuty({
      ...opts,
      holder,
      source: opts.directSource,
      startListening: () => {
        this.changed = new AbortController();
        return this.changed.signal;
      },
      onStep: () => this.notify(),
      signal,
    });
  }

  /** Lets the task decide anew. */
  private wake(): void {
    this.notify();
    this.changed.abort();
  }

  private notify(): void {
    this.belief.update();
    const { token } = this.holder.current() ?? { token: '' };
    const seen = [token, ...this.holder.candidates()].join(' ');
    if (seen !== this.notified) {
      this.notified = seen;
      [...this.listeners].forEach((notify) => notify());
    }
  }
}
