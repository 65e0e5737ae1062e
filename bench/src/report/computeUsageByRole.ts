import type { ProcessRole, ProcessUsage } from '../launcher/processGroup.js';

/** CPU and memory of the processes of one role. */
export interface RoleUsage {
  readonly role: ProcessRole;
  readonly processes: number;
  /** Mean share of a core over the time. */
  readonly meanCoreShare: number;
  readonly maxCoreShare: number;
  readonly maxRssMb: number;
}

/** Options of {@link computeUsageByRole}. */
export interface ComputeUsageByRoleOptions {
  readonly before: readonly ProcessUsage[];
  readonly after: readonly ProcessUsage[];
  readonly elapsedMs: number;
}

const BYTES_PER_MB = 1_048_576;
const ROLES: readonly ProcessRole[] = ['entry', 'gate', 'fakes'];

/** What the processes of each role used between two readings. */
export function computeUsageByRole(opts: ComputeUsageByRoleOptions): readonly RoleUsage[] {
  const before = new Map(opts.before.map(({ name, cpuMs }) => [name, cpuMs]));
  return ROLES.map((role) => {
    const ofRole = opts.after.filter((usage) => usage.role === role);
    // A process that was started again meanwhile has spent less than before.
    const shares = ofRole.map(
      ({ name, cpuMs }) => Math.max(0, cpuMs - (before.get(name) ?? 0)) / opts.elapsedMs,
    );
    const maxRssBytes = Math.max(0, ...ofRole.map(({ rssBytes }) => rssBytes));
    return {
      role,
      processes: ofRole.length,
      meanCoreShare: shares.reduce((sum, share) => sum + share, 0) / Math.max(1, shares.length),
      maxCoreShare: Math.max(0, ...shares),
      maxRssMb: maxRssBytes / BYTES_PER_MB,
    };
  });
}
