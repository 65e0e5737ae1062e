import type { TimerService } from '@galenatiller/timer';

import type { DutyHolder } from './dutyHolder.js';
import type { DutyChange, DutyEvent } from './dutyTypes.js';

/** Options of {@link DutyBelief.create}. */
export interface DutyBeliefOptions {
  readonly holder: DutyHolder;
  readonly selfName: string;
  readonly timer: TimerService;
  readonly onEvent: (event: DutyEvent) => void;
}

/** How sure this router is that it holds the duty. */
type OwnHolding = 'sure' | 'in-doubt' | 'none';

/** What was reported last about one router's holding of the duty. */
interface Reported {
  readonly holder: string;
  readonly token: number;
  readonly sinceMs: number;
  readonly own: OwnHolding;
}

const NOBODY: Reported = { holder: '', token: 0, sinceMs: 0, own: 'none' };

/** Reports each change of the holder of a duty, as this router sees it. */
export class DutyBelief {
  private reported = NOBODY;

  private constructor(private readonly opts: DutyBeliefOptions) {}

  /** Creates an instance that has reported nothing. */
  static create(opts: DutyBeliefOptions): DutyBelief {
    return new DutyBelief(opts);
  }

  /** Reports what has changed since the last call. */
  update(): void {
    const { holder, selfName, timer } = this.opts;
    const before = this.reported;
    const current = holder.current();
    const entry = holder.known();
    if (current) {
      const { token } = current;
      const sinceMs = holder.heldSinceWallMs();
      this.report(chooseOwnChange(before, token), {
        holder: selfName,
        token,
        sinceMs,
        own: 'sure',
      });
    } else if (entry && entry.holder !== selfName) {
      const { holder: name, token } = entry;
      if (before.own !== 'none' && name !== '') {
        this.emit('lost', before, `held by ${name} with token ${token}`);
      }
      const isSame = name === before.holder && token === before.token;
      const sinceMs = isSame ? before.sinceMs : Math.floor(timer.wallMs());
      this.report(chooseChange(before, name, token), { holder: name, token, sinceMs, own: 'none' });
    } else if (before.own === 'sure' && !holder.isStopping) {
      this.report('in-doubt', { ...before, own: 'in-doubt' });
    }
  }

  private report(kind: DutyChange | undefined, now: Reported): void {
    const { reported: before } = this;
    this.reported = now;
    if (kind === 'in-doubt') {
      this.emit(kind, now, 'the lease, the entry or the token is uncertain');
    } else if (kind) {
      this.emit(kind, kind === 'released' ? before : now, '');
    }
  }

  private emit(kind: DutyChange, { holder, token, sinceMs }: Reported, detail: string): void {
    this.opts.onEvent({ kind, duty: this.opts.holder.name, holder, token, sinceMs, detail });
  }
}

function chooseOwnChange(before: Reported, token: number): DutyChange | undefined {
  if (before.own === 'none') {
    return 'taken';
  }
  if (before.own === 'in-doubt') {
    return 'regained';
  }
  return before.token === token ? undefined : 'renewed';
}

/** The change to a holder that isn't this router; the name is empty if there is none. */
function chooseChange(before: Reported, name: string, token: number): DutyChange | undefined {
  if (name === '') {
    return before.holder === '' ? undefined : 'released';
  }
  if (name !== before.holder) {
    return 'taken';
  }
  return before.token === token ? undefined : 'renewed';
}
