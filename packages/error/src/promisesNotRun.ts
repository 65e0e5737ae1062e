/** Statuses that promise a caller that its request has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Whether an HTTP status promises the caller that its request has not run, whoever has sent it. */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.includes(status);
}
