/** The two roles of a node. */
export type NodeRole = 'entry' | 'gate';

/** Whether a host is to be used, as the host list says. */
export type HostState = 'live' | 'leaving';

/** One host of the platform's host list; the list lags behind the truth. */
export interface Host {
  readonly name: string;
  readonly address: string;
  /** TCP port of links between nodes. */
  readonly port: number;
  /** HTTP port for operators. */
  readonly operatorPort: number;
  readonly role: NodeRole;
  readonly availabilityZone: string;
  readonly state: HostState;
}
