import { pipe } from 'fp-ts/lib/function.js';
import * as NEA from 'fp-ts/lib/NonEmptyArray.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';

import type {
  History,
  RequestRecord,
  TargetRun,
  Verdict,
  Violation,
  ViolationKind,
  ZoneChange,
} from './history.js';

/** Time after a zone was taken out during which runs may still start there. */
export const MAX_ZONE_OUT_DELAY_MS = 3_000;

/** Violation kinds that are counted as lost and as crossed. */
const LOST_KINDS: readonly ViolationKind[] = ['unanswered', 'incomplete', 'no-effect'];
const CROSSED_KINDS: readonly ViolationKind[] = ['crossed', 'altered'];

/** Checks every invariant against the history of a run. */
export function checkHistory(history: History): Verdict {
  const violations = [
    ...history.requests.flatMap(checkEnd),
    ...checkTexts(history.requests),
    ...checkEffects(history),
    ...checkNotRun(history),
    ...checkZones(history),
    ...checkColdOverloads(history),
  ];
  const ends = history.requests.map((request) => request.end.kind);
  return {
    answered: ends.filter((kind) => kind === 'answered').length,
    refused: ends.filter((kind) => kind === 'refused').length,
    lost: countViolations(violations, LOST_KINDS),
    doubled: countViolations(violations, ['doubled']),
    crossed: countViolations(violations, CROSSED_KINDS),
    violations,
  };
}

function countViolations(
  violations: readonly Violation[],
  kinds: readonly ViolationKind[],
): number {
  return violations.filter(({ kind }) => kinds.includes(kind)).length;
}

/** Every request ends with a complete response or a refusal. */
function checkEnd(request: RequestRecord): readonly Violation[] {
  const { end, text, expected, requestId, route } = request;
  if (end.kind === 'unanswered') {
    return [{ kind: 'unanswered', requestId, detail: `${route}: ${end.detail}` }];
  }
  if (end.kind === 'answered' && text !== expected && expected.startsWith(text)) {
    const detail = `${route}: received ${text.length} of ${expected.length} characters`;
    return [{ kind: 'incomplete', requestId, detail }];
  }
  return [];
}

/** Received text is a prefix of the expected text; the body has the id of its own request. */
function checkTexts(requests: readonly RequestRecord[]): readonly Violation[] {
  const withOtherId = requests.filter(
    ({ requestId, bodyRequestId }) => bodyRequestId !== '' && bodyRequestId !== requestId,
  );
  const withOtherText = requests.filter(
    ({ expected, text }) => !expected.startsWith(text) && !withOtherId.some((r) => r.text === text),
  );
  const owners =
    withOtherText.length === 0 ? new Map<string, string>() : mapWordsToRequests(requests);
  return [
    ...withOtherId.map(({ requestId, bodyRequestId }) => ({
      kind: 'crossed' as const,
      requestId,
      detail: `the body has the id of request ${bodyRequestId}`,
    })),
    ...withOtherText.map((request) => describeWrongText(request, owners)),
  ];
}

function mapWordsToRequests(requests: readonly RequestRecord[]): ReadonlyMap<string, string> {
  return new Map(
    requests.flatMap(({ expected, requestId }) =>
      splitWords(expected).map((word) => [word, requestId] as const),
    ),
  );
}

function describeWrongText(
  { requestId, route, text, expected }: RequestRecord,
  owners: ReadonlyMap<string, string>,
): Violation {
  const own = new Set(splitWords(expected));
  const foreign = splitWords(text).filter((word) => !own.has(word));
  const foreignOwned = foreign.find((word) => owners.has(word));
  if (foreignOwned !== undefined) {
    const detail = `${route}: "${foreignOwned}" belongs to request ${owners.get(foreignOwned) ?? ''}`;
    return { kind: 'crossed', requestId, detail };
  }
  const found = foreign[0] ?? 'the expected words, but not in order';
  return { kind: 'altered', requestId, detail: `${route}: ${found}` };
}

function splitWords(text: string): readonly string[] {
  return text.split(' ').filter((word) => word !== '');
}

/** An idempotency key has at most one effect, and the key of an answered request has one. */
function checkEffects(history: History): readonly Violation[] {
  const byKey = pipe(
    history.effects,
    RA.filter(({ runKey }) => runKey !== ''),
    RA.toArray,
    NEA.groupBy(({ runKey }) => runKey),
  );
  const doubled = Object.entries(byKey).flatMap(([runKey, effects]) =>
    effects.slice(1).map(({ requestId }) => ({
      kind: 'doubled' as const,
      requestId,
      detail: `key ${runKey}: another effect after that of request ${effects[0].requestId}`,
    })),
  );
  const withoutEffect = history.requests
    .filter(
      ({ atMostOnce, end, runKey }) => atMostOnce && end.kind === 'answered' && !byKey[runKey],
    )
    .map(({ requestId, runKey }) => ({
      kind: 'no-effect' as const,
      requestId,
      detail: `key ${runKey}: answered without an effect`,
    }));
  return [...doubled, ...withoutEffect];
}

/** A request that was refused with the outcome `not-run` ran on no target. */
function checkNotRun({ requests, runs }: History): readonly Violation[] {
  const runByRequest = new Map(runs.map((run) => [run.requestId, run]));
  return requests.flatMap(({ end, requestId, route }) => {
    const run = runByRequest.get(requestId);
    if (end.kind !== 'refused' || end.outcome !== 'not-run' || requestId === '' || !run) {
      return [];
    }
    const description = `stage ${run.stageIndex} attempt ${run.attempt} ran on ${run.targetName}`;
    return [
      {
        kind: 'false-not-run',
        requestId,
        detail: `${route}: refused with ${end.code}, but ${description}`,
      },
    ];
  });
}

/** No run starts in a zone later than {@link MAX_ZONE_OUT_DELAY_MS} after it was taken out. */
function checkZones({ runs, zoneChanges }: History): readonly Violation[] {
  return runs.flatMap((run) => {
    const change = findLastZoneChange(zoneChanges, run);
    const delayMs = change?.state === 'out' ? run.startedWallMs - change.atWallMs : 0;
    if (delayMs <= MAX_ZONE_OUT_DELAY_MS) {
      return [];
    }
    const detail = `${run.targetName} in ${run.availabilityZone}, ${delayMs} ms after it was taken out`;
    return [{ kind: 'zone-out-run', requestId: run.requestId, detail }];
  });
}

function findLastZoneChange(
  changes: readonly ZoneChange[],
  run: TargetRun,
): ZoneChange | undefined {
  return changes
    .filter((change) => change.availabilityZone === run.availabilityZone)
    .filter((change) => change.atWallMs <= run.startedWallMs)
    .sort((left, right) => right.atWallMs - left.atWallMs)[0];
}

/** A cold engine never gets more concurrent requests than it can handle. */
function checkColdOverloads({ coldOverloads }: History): readonly Violation[] {
  return coldOverloads === 0
    ? []
    : [
        {
          kind: 'cold-overload',
          requestId: '',
          detail: `cold engines were overloaded ${coldOverloads} times`,
        },
      ];
}
