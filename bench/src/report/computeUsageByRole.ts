import type { ProcessRole, ProcessUsage } from '../launcher/processGroup.js';

/** CPU and memory of the processes of one role. */
export interface RoleUsage {
  readonly role: ProcessRole;
  readonly processes: number;
  /** Mean of the share of a core that each process used. */
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

/** Computes what the processes of each role used between two readings. */
export function computeUsageByRole(opts: ComputeUsageByRoleOptions): readonly RoleUsage[] {
  const cpuMsBefore = new Map(opts.before.map(({ name, cpuMs }) => [name, cpuMs]));
  return ROLES.map((role) => {
    const roleUsage = opts.after.filter((usage) => usage.role === role);
    // The CPU time of a process that was restarted in between starts at 0 again.
    const shares = roleUsage.map(
      ({ name, cpuMs }) => Math.max(0, cpuMs - (cpuMsBefore.get(name) ?? 0)) / opts.elapsedMs,
    );
    const maxRssBytes = Math.max(0, ...roleUsage.map(({ rssBytes }) => rssBytes));
    return {
      role,
      processes: roleUsage.length,
      meanCoreShare: shares.reduce((sum, share) => sum + share, 0) / Math.max(1, shares.length),
      maxCoreShare: Math.max(0, ...shares),
      maxRssMb: maxRssBytes / BYTES_PER_MB,
    };
  });
}
