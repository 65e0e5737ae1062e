/** Computes the table of docs/CAPACITY.md from measured slopes; `--write` updates the page. */
import { readFileSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const PAGE = 'docs/CAPACITY.md';
const BEGIN = '<!-- computed by scripts/capacityPage.mjs -->';
const END = '<!-- end of the computed part -->';
const SECONDS_PER_DAY = 86_400;

/** The planned size of the system. */
const PLANNED_SIZE = {
  entries: 40,
  gates: 300,
  targetsPerGate: 2,
  models: 32,
  requestsPerSecond: 2_500,
  tokensPerSecond: 760_000,
  organisations: 36_000,
  changesPerDay: 500,
  stagesPerRequest: 4,
  linksPerGroup: 4,
};

/** Measured slopes; the page gives the command that measures each. */
const SLOPES = {
  reportBaseBytes: 38,
  reportBytesPerTarget: 129,
  pongBytes: 29,
  unchangedReportIntervalS: 5,
  crashRecordBytes: 71,
  configurationBytesPerChange: 6_410,
  configurationMbAt36000: 12.6,
  timelineBytesPerEvent: 202,
  timelineUsPerEvent: 1.16,
  timelineEvents: 20_000,
  entryTokensPerCoreSecond: 20_055,
  storeCallsPerClaim64Gates: 0.226,
  watchReopenIntervalS: 5,
};

/** Renders the computed part of the page. */
export function renderCapacity() {
  const loads = computeLoads();
  const rows = [
    ...renderGateRows(loads),
    ...renderEntryRows(loads),
    ...renderSharedRows(),
    ...renderStoreRows(),
  ];
  const lines = rows.map((row) => `| ${row.join(' | ')} |`);
  const head = '| role | what | at the planned size | unit and bound | mechanism |';
  return [head, '| --- | --- | --- | --- | --- |', ...lines].join('\n');
}

function computeLoads() {
  const gatesPerModel = PLANNED_SIZE.gates / PLANNED_SIZE.models;
  const linkedShare = Math.min(1, PLANNED_SIZE.linksPerGroup / gatesPerModel);
  const reportBytes =
    SLOPES.reportBaseBytes + SLOPES.reportBytesPerTarget * PLANNED_SIZE.targetsPerGate;
  const requestsPerEntry = PLANNED_SIZE.requestsPerSecond / PLANNED_SIZE.entries;
  return {
    linksPerGate: PLANNED_SIZE.entries * linkedShare,
    linksPerEntry: PLANNED_SIZE.gates * linkedShare,
    linkBytes: reportBytes / SLOPES.unchangedReportIntervalS + SLOPES.pongBytes,
    eventsPerEntry: requestsPerEntry * 2 * PLANNED_SIZE.stagesPerRequest,
    tokensPerEntry: PLANNED_SIZE.tokensPerSecond / PLANNED_SIZE.entries,
  };
}

function renderGateRows({ linksPerGate, linkBytes }) {
  const fullMeshBytes = PLANNED_SIZE.entries * linkBytes;
  const mechanism = 'reports on news, every 5 s at least';
  return [
    ['gate', 'links at links-per-group 4', round(linksPerGate), 'links', 'rendezvous hashing'],
    [
      'gate',
      'control sent on idle links',
      round(linksPerGate * linkBytes),
      'B/s of 2,048',
      mechanism,
    ],
    [
      'gate',
      'the same as a full mesh',
      round(fullMeshBytes),
      'B/s of 2,048',
      'over: why links are a subset',
    ],
  ];
}

function renderEntryRows({ linksPerEntry, eventsPerEntry, tokensPerEntry }) {
  const pingBytes = linksPerEntry * SLOPES.pongBytes;
  const eventShare = (eventsPerEntry * SLOPES.timelineUsPerEvent) / 1e4;
  const tokenShare = (100 * tokensPerEntry) / SLOPES.entryTokensPerCoreSecond;
  return [
    ['entry', 'links at links-per-group 4', round(linksPerEntry), 'links', 'rendezvous hashing'],
    ['entry', 'pings sent', round(pingBytes), 'B/s of 2,048', 'one a second and link: over'],
    ['entry', 'time line CPU', eventShare.toFixed(3), '% of a core of 4.1', 'two events a stage'],
    [
      'entry',
      'tokens passed on',
      round(tokensPerEntry),
      'tokens/s',
      'parts of a turn in one chunk',
    ],
    ['entry', 'CPU for them', tokenShare.toFixed(0), '% of a core', 'data path, not control'],
  ];
}

function renderSharedRows() {
  const changeBytes =
    (SLOPES.configurationBytesPerChange * PLANNED_SIZE.changesPerDay) / SECONDS_PER_DAY;
  const timelineMb = (SLOPES.timelineEvents * SLOPES.timelineBytesPerEvent) / 1e6;
  const configurationMb = round(SLOPES.configurationMbAt36000);
  return [
    ['both', 'configuration received', round(changeBytes), 'B/s', 'deltas in the head'],
    ['both', 'configuration in memory', configurationMb, 'MB of 128', 'one index of the rules'],
    ['both', 'time line in memory', round(timelineMb), 'MB of 128', 'ring of fixed size'],
  ];
}

function renderStoreRows() {
  const watchesPerSecond =
    (PLANNED_SIZE.entries + PLANNED_SIZE.gates) / SLOPES.watchReopenIntervalS;
  const claimsPerSecond = round(PLANNED_SIZE.requestsPerSecond * SLOPES.storeCallsPerClaim64Gates);
  const bound = 'calls/s of several hundred';
  return [
    ['store', 'watches reopened', round(watchesPerSecond), 'calls/s of 2,000', 'one watch a node'],
    [
      'store',
      'claims, 10 % at most once, 64 gates',
      claimsPerSecond,
      bound,
      'grouped claims: over',
    ],
  ];
}

function round(value) {
  return String(Math.round(value));
}

if (process.argv[1] === fileURLToPath(import.meta.url) && process.argv.includes('--write')) {
  const page = readFileSync(PAGE, 'utf8');
  const [before, rest] = page.split(BEGIN);
  const [, after] = rest.split(END);
  writeFileSync(PAGE, `${before}${BEGIN}\n\n${renderCapacity()}\n\n${END}${after}`);
}
