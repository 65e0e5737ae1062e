import { closeConnection, type Connection } from './connection.js';

/** Options of {@link IdleConnections.create}. */
export interface IdleConnectionsOptions {
  /** Maximum number of idle connections per peer; the oldest ones beyond it are closed. */
  readonly maxPerPeer: number;
}

/** The open connections that carry no request, by peer. */
export class IdleConnections {
  private readonly idle = new Map<string, Connection[]>();

  private constructor(private readonly opts: IdleConnectionsOptions) {}

  /** Creates an instance without connections. */
  static create(opts: IdleConnectionsOptions): IdleConnections {
    return new IdleConnections(opts);
  }

  /** Takes the usable connection to a peer that was used last. */
  take(
    peer: string,
    isUsable: (connection: Connection) => boolean = () => true,
  ): Connection | undefined {
    const taken = this.idle.get(peer)?.findLast(isUsable);
    if (taken) {
      this.remove(peer, taken);
    }
    return taken;
  }

  /** Keeps a connection for later requests to a peer. */
  keep(peer: string, connection: Connection): void {
    const kept = this.idle.get(peer) ?? [];
    kept.push(connection);
    if (kept.length > this.opts.maxPerPeer) {
      kept.splice(0, 1).forEach(closeConnection);
    }
    this.idle.set(peer, kept);
  }

  /** Removes a connection, so that it is not taken. */
  remove(peer: string, connection: Connection): void {
    const kept = (this.idle.get(peer) ?? []).filter((other) => other !== connection);
    if (kept.length > 0) {
      this.idle.set(peer, kept);
    } else {
      this.idle.delete(peer);
    }
  }

  /** Closes the idle connections of a peer. */
  close(peer: string): void {
    (this.idle.get(peer) ?? []).forEach(closeConnection);
    this.idle.delete(peer);
  }

  /** Closes every idle connection. */
  closeAll(): void {
    [...this.idle.keys()].forEach((peer) => this.close(peer));
  }
}
