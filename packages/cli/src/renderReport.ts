import { formatInstant, formatRules, formatShare, type NodeStatus } from '@galenatiller/operator';
import { describeEvent } from '@galenatiller/timeline';
import type { Host } from '@galenatiller/types';

import type {
  ApplyReport,
  CommandReport,
  DiffReport,
  NodeReport,
  Rollout,
  RolloutReport,
  StatusReport,
  TimelineReport,
  TopReport,
} from './commandReport.js';
import { formatChanges } from './formatChanges.js';
import { type TextStyle, renderChangeLines, renderTable } from './renderText.js';

/** Writes a report as lines of text. */
export function renderReport(report: CommandReport, paint: TextStyle): readonly string[] {
  switch (report.command) {
    case 'apply':
      return renderApply(report, paint);
    case 'check':
      return [`${report.fileName}: ${report.rules} rules, no problem found.`];
    case 'completion':
      return [report.script];
    case 'diff':
      return renderDiff(report, paint);
    case 'explain':
      return report.sentences;
    case 'rollout':
      return renderRollouts(report, paint);
    case 'show':
      return [
        `# revision ${report.revision} by ${report.author}`,
        formatRules(report.rules).trimEnd(),
      ];
    case 'status':
      return renderStatus(report, paint);
    case 'timeline':
      return renderEvents(report);
    default:
      return renderLoad(report);
  }
}

function renderApply(report: ApplyReport, paint: TextStyle): readonly string[] {
  const { changes, nodes, revision } = report;
  const made =
    changes.length === 0
      ? `Nothing to change; revision ${revision} is`
      : `Revision ${revision} is accepted and`;
  return [
    ...renderChangeLines(formatChanges(changes), paint),
    `${made} in force at all ${nodes} live nodes.`,
  ];
}

function renderDiff(report: DiffReport, paint: TextStyle): readonly string[] {
  const { changes, revision, author } = report;
  const by = revision === 0 ? 'no accepted rules' : `revision ${revision} by ${author}`;
  return [
    ...renderChangeLines(formatChanges(changes), paint),
    changes.length === 0
      ? `No difference from ${by}.`
      : `${changes.length} rules differ from ${by}.`,
  ];
}

function renderStatus(report: StatusReport, paint: TextStyle): readonly string[] {
  const head = ['node', 'role', 'zone', 'revision', 'in flight', 'targets ready', 'note'];
  const rows = report.nodes.map((node) => statusRow(report, node));
  const newest = report.revision < 0 ? paint.error('not known') : String(report.revision);
  return [`Newest revision: ${newest}.`, ...(rows.length > 0 ? [renderTable({ head, rows })] : [])];
}

function statusRow(report: StatusReport, { host, status }: NodeReport): readonly string[] {
  const place = [host.name, host.role, host.availabilityZone];
  if (!status) {
    return [...place, '?', '?', '?', 'does not answer'];
  }
  const { configurationRevision, inFlight, targets } = status;
  const ready = targets.filter((target) => target.state === 'ready').length;
  const readyCell = targets.length === 0 ? '' : `${ready} of ${targets.length}`;
  const notes = notesOf(report, host, status).join(', ');
  return [...place, String(configurationRevision), String(inFlight), readyCell, notes];
}

function notesOf(report: StatusReport, host: Host, status: NodeStatus): readonly string[] {
  const closed = status.links.filter((link) => link.state !== 'open').length;
  return [
    ...(host.state === 'leaving' ? ['leaving'] : []),
    ...(status.draining ? ['draining'] : []),
    ...(status.configurationRevision < report.revision ? ['behind'] : []),
    ...(status.storeReachable ? [] : ['store out of reach']),
    ...(closed > 0 ? [`${closed} links not open`] : []),
  ];
}

function renderRollouts(report: RolloutReport, paint: TextStyle): readonly string[] {
  return report.rollouts.length === 0
    ? ['No version move is known.']
    : report.rollouts.flatMap((rollout) => renderRollout(rollout, paint));
}

function renderRollout(rollout: Rollout, paint: TextStyle): readonly string[] {
  const { targetGroup, fromVersion, toVersion, rule, nodes } = rollout;
  const by = rule
    ? `by ${formatInstant(rule.byWallMs)}, asked by ${rule.askedBy}`
    : 'no rule known';
  const isDone = nodes.length > 0 && nodes.every(({ move }) => move.state === 'done');
  const isStopped = nodes.some(({ move }) => move.state === 'stopped');
  const moving = isDone ? paint.success('done') : 'under way';
  const state = isStopped ? paint.error('taken back') : moving;
  return [
    `${targetGroup} ${fromVersion} > ${toVersion}: ${state} (${by})`,
    ...nodes.map(({ nodeName, move }) => {
      const reason = move.reason === '' ? '' : `: ${move.reason}`;
      return `  ${nodeName}: ${move.state}, ${formatShare(move.share)} of traffic${reason}`;
    }),
  ];
}

function renderEvents(report: TimelineReport): readonly string[] {
  if (report.events.length === 0) {
    return ['No event is known.'];
  }
  return report.events.map((event) => {
    const request = event.requestId === '' ? '' : ` [${event.requestId}]`;
    return `${new Date(event.stamp.wallMs).toISOString()} ${describeEvent(event)}${request}`;
  });
}

function renderLoad(report: TopReport): readonly string[] {
  const head = ['group', 'version', 'ready', 'cold', 'away', 'in flight', 'limit', 'queued'];
  const rows = report.groups.map((load) => [
    load.group,
    load.version,
    String(load.ready),
    String(load.cold),
    String(load.away),
    String(load.inFlight),
    String(load.inFlightLimit),
    String(load.queued),
  ]);
  return rows.length > 0 ? [renderTable({ head, rows })] : ['No target is known.'];
}
