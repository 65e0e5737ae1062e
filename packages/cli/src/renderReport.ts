import {
  formatFinding,
  formatInstant,
  formatRules,
  formatShare,
  type NodeStatus,
} from '@galenatiller/operator';
import { describeEvent } from '@galenatiller/timeline';
import type { Host } from '@galenatiller/types';

import type {
  AcceptedChange,
  ApplyReport,
  CheckReport,
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

/** Renders a report as lines of text. */
export function renderReport(report: CommandReport, style: TextStyle): readonly string[] {
  switch (report.command) {
    case 'apply':
      return renderApply(report, style);
    case 'check':
      return renderCheck(report, style);
    case 'completion':
      return [report.script];
    case 'diff':
      return renderDiff(report, style);
    case 'explain':
      return report.sentences;
    case 'rollout':
      return renderRollouts(report, style);
    case 'show':
      return [
        `# revision ${report.revision} by ${report.author}`,
        formatRules(report.rules).trimEnd(),
      ];
    case 'status':
      return renderStatus(report, style);
    case 'timeline':
      return renderEvents(report);
    default:
      return renderLoad(report);
  }
}

function renderApply(report: ApplyReport, style: TextStyle): readonly string[] {
  const { changes, nodes, revision } = report;
  const subject =
    changes.length === 0
      ? `Nothing to change; revision ${revision} is`
      : `Revision ${revision} is accepted and`;
  return [
    ...renderChangeLines(formatChanges(changes), style),
    `${subject} in force at all ${nodes} live nodes.`,
  ];
}

function renderCheck(report: CheckReport, style: TextStyle): readonly string[] {
  const { fileName, rules, findings, active } = report;
  const problems = findings.filter(({ severity }) => severity === 'problem').length;
  const notices = findings.length - problems;
  const summary = [
    `${fileName}: ${rules} rules`,
    problems === 0 ? 'no problem found' : `problems: ${problems}`,
    ...(notices === 0 ? [] : [`notices: ${notices}`]),
    ...(active ? [`compared with ${describeAccepted(active)}`] : []),
  ];
  return [
    ...findings.map((finding) =>
      finding.severity === 'problem' ? style.error(formatFinding(finding)) : formatFinding(finding),
    ),
    `${summary.join(', ')}.`,
  ];
}

function describeAccepted({ revision, author }: AcceptedChange): string {
  return revision === 0 ? 'no accepted rules' : `revision ${revision} by ${author}`;
}

function renderDiff(report: DiffReport, style: TextStyle): readonly string[] {
  const { changes, revision, author } = report;
  const base = describeAccepted({ revision, author });
  return [
    ...renderChangeLines(formatChanges(changes), style),
    changes.length === 0
      ? `No difference from ${base}.`
      : `${changes.length} rules differ from ${base}.`,
  ];
}

function renderStatus(report: StatusReport, style: TextStyle): readonly string[] {
  const head = ['node', 'role', 'zone', 'revision', 'in flight', 'targets ready', 'note'];
  const rows = report.nodes.map((node) => createStatusRow(report, node));
  const newest = report.revision < 0 ? style.error('not known') : String(report.revision);
  return [`Newest revision: ${newest}.`, ...(rows.length > 0 ? [renderTable({ head, rows })] : [])];
}

function createStatusRow(report: StatusReport, { host, status }: NodeReport): readonly string[] {
  const hostCells = [host.name, host.role, host.availabilityZone];
  if (!status) {
    return [...hostCells, '?', '?', '?', 'no response'];
  }
  const { configurationRevision, inFlight, targets } = status;
  const ready = targets.filter((target) => target.state === 'ready').length;
  const readyCell = targets.length === 0 ? '' : `${ready} of ${targets.length}`;
  const notes = listNotes(report, host, status).join(', ');
  return [...hostCells, String(configurationRevision), String(inFlight), readyCell, notes];
}

function listNotes(report: StatusReport, host: Host, status: NodeStatus): readonly string[] {
  const closed = status.links.filter((link) => link.state !== 'open').length;
  return [
    ...(host.state === 'leaving' ? ['leaving'] : []),
    ...(status.draining ? ['draining'] : []),
    ...(status.configurationRevision < report.revision ? ['behind'] : []),
    ...(status.storeReachable ? [] : ['store unreachable']),
    ...(closed > 0 ? [`${closed} links not open`] : []),
  ];
}

function renderRollouts(report: RolloutReport, style: TextStyle): readonly string[] {
  return report.rollouts.length === 0
    ? ['No version moves found.']
    : report.rollouts.flatMap((rollout) => renderRollout(rollout, style));
}

function renderRollout(rollout: Rollout, style: TextStyle): readonly string[] {
  const { targetGroup, fromVersion, toVersion, rule, nodes } = rollout;
  const origin = rule
    ? `by ${formatInstant(rule.byWallMs)}, asked by ${rule.askedBy}`
    : 'rule not known';
  const isDone = nodes.length > 0 && nodes.every(({ move }) => move.state === 'done');
  const isStopped = nodes.some(({ move }) => move.state === 'stopped');
  const progress = isDone ? style.success('done') : 'under way';
  const state = isStopped ? style.error('taken back') : progress;
  return [
    `${targetGroup} ${fromVersion} > ${toVersion}: ${state} (${origin})`,
    ...nodes.map(({ nodeName, move }) => {
      const reason = move.reason === '' ? '' : `: ${move.reason}`;
      return `  ${nodeName}: ${move.state}, ${formatShare(move.share)} of traffic${reason}`;
    }),
  ];
}

function renderEvents(report: TimelineReport): readonly string[] {
  if (report.events.length === 0) {
    return ['No events found.'];
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
  return rows.length > 0 ? [renderTable({ head, rows })] : ['No targets found.'];
}
