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
  /** Returns the delay of the next frame. */
  readonly drawDelayMs: () => number;
}

/** A link in memory, seen from both ends. */
export interface MemoryLink {
  /** The link as the near node uses it; its peer is the far node. */
  readonly nearSide: AuthenticatedLink;
  /** The link as the far node uses it; its peer is the near node. */
  readonly farSide: AuthenticatedLink;
  /** Drops frames in transit and closes the link at both ends. */
  readonly cut: () => void;
}

/** Creates a link that delivers frames in order, on the clock of the receiving node. */
export function createMemoryLink(opts: MemoryLinkOptions): MemoryLink {
  const toNear = Mailbox.create<NodeFrame>();
  const toFar = Mailbox.create<NodeFrame>();
  let isCut = false;
  const cut = (): void => {
    isCut = true;
    // Each node is notified on its own clock.
    opts.near.timer.after({ delayMs: opts.drawDelayMs(), notify: () => toNear.close() });
    opts.far.timer.after({ delayMs: opts.drawDelayMs(), notify: () => toFar.close() });
  };
  const createSide = (
    inbox: Mailbox<NodeFrame>,
    outbox: Mailbox<NodeFrame>,
    receiverTimer: TimerService,
  ): Link => {
    let arrivesAtMs = 0;
    let isEnded = false;
    const frames = inbox.read();
    return {
      next: async () => {
        const result = await frames.next();
        return result.done ? undefined : result.value;
      },
      read: () => frames,
      send: (frame) => {
        if (isCut || isEnded) {
          return false;
        }
        arrivesAtMs = Math.max(arrivesAtMs, receiverTimer.nowMs() + opts.drawDelayMs());
        const notify = (): void => {
          if (!isCut) {
            outbox.put(frame);
          }
        };
        receiverTimer.after({ delayMs: arrivesAtMs - receiverTimer.nowMs(), notify });
        return true;
      },
      close: cut,
      // The peer still gets the frames in transit, and closes the link once it has read them.
      end: () => {
        isEnded = true;
        const delayMs = Math.max(0, arrivesAtMs - receiverTimer.nowMs());
        receiverTimer.after({ delayMs, notify: () => outbox.close() });
      },
    };
  };
  return {
    nearSide: { link: createSide(toNear, toFar, opts.far.timer), peer: opts.far.identity },
    farSide: { link: createSide(toFar, toNear, opts.near.timer), peer: opts.near.identity },
    cut,
  };
}
