/** Number of requests of one organisation that began to run. */
export type OrganisationCount = readonly [organisation: string, requests: number];

/** Counts of a window of time; window k begins k window lengths after the start of 1970. */
export interface WindowCounts {
  readonly window: number;
  readonly counts: readonly OrganisationCount[];
}

/** What one router has counted. Its counts only grow, so that updates may be lost, repeated or come out of order. */
export interface UsageUpdate {
  readonly router: string;
  /** Tells the starts of a router apart; counts of different starts are added. */
  readonly start: string;
  /** Total counts of this start, of the organisations whose counts have changed. */
  readonly windows: readonly WindowCounts[];
  /** This start counts nothing more in windows up to and including this one. */
  readonly closedThrough: number;
}

/** How busy one service is in a zone, as seen by one router. */
export interface ZoneLoad {
  readonly service: string;
  readonly zone: string;
  /** Calls that were sent to workers in the zone and have not ended. */
  readonly inFlight: number;
}

/** How busy the services with a scaling range are, as seen by one router. */
export interface LoadUpdate {
  readonly router: string;
  readonly zones: readonly ZoneLoad[];
  /** Calls that wait for a worker, by service. */
  readonly waiting: readonly (readonly [service: string, calls: number])[];
}
