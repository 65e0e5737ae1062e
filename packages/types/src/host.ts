/** The two roles of a node. */
export type NodeRole = 'entry' | 'gate';

/** Whether a host may be used, according to the host list. */
export type HostState = 'live' | 'leaving';

/** One host of the platform's host list, which lags behind the actual state. */
export interface Host {
  readonly name: string;
  readonly address: string;
  /** TCP port for links between nodes. */
  readonly port: number;
  /** HTTP port for operator requests. */
  readonly operatorPort: number;
  readonly role: NodeRole;
  readonly availabilityZone: string;
  readonly state: HostState;
}
