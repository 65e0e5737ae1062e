import type { Link, NodeFrame, NodeIdentity, AuthenticatedLink } from '@galenatiller/node';
import { Mailbox } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';

/** One end of a link in memory. */
export interface MemoryLinkEnd {
  readonly identity: NodeIdentity;
  readonly timer: TimerService;
}

/** Options of {@link createMemoryLink}. */
export interface MemoryLinkOptions {
  readonly near: MemoryLinkEnd;
  readonly far: MemoryLinkEnd;
  /** Time that the next frame takes. */
  readonly drawDelayMs: () => number;
}

/** A link in memory, seen from both ends. */
export interface MemoryLink {
  /** The far node, as the near one sees it. */
  readonly nearSide: AuthenticatedLink;
  /** The near node, as the far one sees it. */
  readonly farSide: AuthenticatedLink;
  /** Loses what is on its way; both ends see the link end. */
  readonly cut: () => void;
}

/** Makes a link whose frames arrive in order, each on the clock of the node that receives it. */
export function createMemoryLink(opts: MemoryLinkOptions): MemoryLink {
  const toNear = Mailbox.create<NodeFrame>();
  const toFar = Mailbox.create<NodeFrame>();
  let isCut = false;
  const cut = (): void => {
    isCut = true;
    // Each end notices on its own clock.
    opts.near.timer.after({ delayMs: opts.drawDelayMs(), notify: () => toNear.close() });
    opts.far.timer.after({ delayMs: opts.drawDelayMs(), notify: () => toFar.close() });
  };
  const createSide = (
    inbox: Mailbox<NodeFrame>,
    outbox: Mailbox<NodeFrame>,
    to: TimerService,
  ): Link => {
    let arrivesAtMs = 0;
    const frames = inbox.read();
    return {
      next: async () => {
        const taken = await frames.next();
        return taken.done ? undefined : taken.value;
      },
      read: () => frames,
      send: (frame) => {
        if (isCut) {
          return false;
        }
        arrivesAtMs = Math.max(arrivesAtMs, to.nowMs() + opts.drawDelayMs());
        const notify = (): void => {
          if (!isCut) {
            outbox.put(frame);
          }
        };
        to.after({ delayMs: arrivesAtMs - to.nowMs(), notify });
        return true;
      },
      close: cut,
      end: cut,
    };
  };
  return {
    nearSide: { link: createSide(toNear, toFar, opts.far.timer), peer: opts.far.identity },
    farSide: { link: createSide(toFar, toNear, opts.near.timer), peer: opts.near.identity },
    cut,
  };
}
