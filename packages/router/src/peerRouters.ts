import { parseAddress } from '@galenatiller/http';
import { type PeerEvent, PeerRouter, PingTicker } from '@galenatiller/routerLink';
import type { Member } from '@galenatiller/store';
import type { TaskGroup } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';

/** Options of {@link PeerRouters.create}. */
export interface PeerRoutersOptions {
  readonly timer: TimerService;
  readonly selfName: string;
  readonly onLinkEvent: (event: PeerEvent) => void;
  /** Called when the link to a peer is open. */
  readonly onOpened: (peer: PeerRouter) => void;
  /** Each link to a peer has a task in this group. */
  readonly tasks: TaskGroup;
}

interface Peer {
  readonly router: PeerRouter;
  readonly address: string;
  readonly stop: AbortController;
}

/** The links to all other live routers. */
export class PeerRouters {
  private readonly peers = new Map<string, Peer>();

  private readonly pings: PingTicker;

  private isClosed = false;

  private constructor(private readonly opts: PeerRoutersOptions) {
    this.pings = PingTicker.create(opts);
  }

  /** Creates an instance without links. */
  static create(opts: PeerRoutersOptions): PeerRouters {
    return new PeerRouters(opts);
  }

  /** Sets the live routers; opens links to new ones and closes the links to all others. */
  setMembers(members: readonly Member[]): void {
    if (this.isClosed) {
      return;
    }
    const others = members.filter(
      ({ name, address }) => name !== this.opts.selfName && parseAddress(address),
    );
    const addresses = new Map(others.map(({ name, address }) => [name, address]));
    this.peers.forEach(({ address, stop }, name) => {
      if (addresses.get(name) !== address) {
        this.peers.delete(name);
        stop.abort();
      }
    });
    others.filter(({ name }) => !this.peers.has(name)).forEach((member) => this.open(member));
  }

  /** The link to a router; undefined for this node and for unknown ones. */
  find(name: string): PeerRouter | undefined {
    return this.peers.get(name)?.router;
  }

  /** The links to all peers, whether open or not. */
  all(): readonly PeerRouter[] {
    return [...this.peers.values()].map(({ router }) => router);
  }

  /** Ends all links, and opens no others. */
  close(): void {
    this.isClosed = true;
    this.peers.forEach(({ stop }) => stop.abort());
  }

  /** Whether there are other routers, and no link to any of them is open. */
  isIsolated(): boolean {
    const routers = this.all();
    return routers.length > 0 && routers.every(({ isOpen }) => !isOpen);
  }

  private open(member: Member): void {
    const { timer, selfName, onLinkEvent, onOpened, tasks } = this.opts;
    const { name: peerName, address } = member;
    const onEvent = (event: PeerEvent): void => {
      onLinkEvent(event);
      if (event.kind === 'opened') {
        onOpened(router);
      }
    };
    const router = PeerRouter.create({
      timer,
      selfName,
      peerName,
      address,
      onEvent,
      startPings: (check) => this.pings.start(check),
    });
    const stop = new AbortController();
    this.peers.set(peerName, { router, address, stop });
    tasks.start(() => router.run({ signal: stop.signal }));
  }
}
