/**
 * Finds rules that can never match, limits that contradict each other and differences from the
 * accepted rules, in a file that parsed without problems.
 */
import type { Rule } from '@galenatiller/types';
import { Ord as numberOrd } from 'fp-ts/lib/number.js';
import { contramap } from 'fp-ts/lib/Ord.js';
import { sort } from 'fp-ts/lib/ReadonlyArray.js';

import { diffRules, type RuleChange } from './diffRules.js';
import { formatRule } from './formatRule.js';
import { getRuleKey } from './getRuleKey.js';
import type { LocatedRule, ParsedRules } from './parseRules.js';
import type { RuleFinding } from './ruleFinding.js';
import { selectKind } from './selectKind.js';
import { formatDuration } from './valueFormats.js';

/** Options of {@link reviewRules}. */
export interface ReviewRulesOptions {
  readonly parsed: ParsedRules;
  /** The accepted rules to compare with; without them nothing is compared. */
  readonly acceptedRules?: readonly Rule[];
}

type LocalFinding = Omit<RuleFinding, 'fileName'>;

const MS_PER_S = 1_000;

const sortByLine = sort(contramap((finding: LocalFinding) => finding.line)(numberOrd));

/** Returns all findings in a rules file, in file order. */
export function reviewRules({ parsed, acceptedRules }: ReviewRulesOptions): readonly RuleFinding[] {
  const { fileName, rules, locatedRules } = parsed;
  const changes = acceptedRules ? diffRules({ before: acceptedRules, after: rules }) : [];
  const findings = [
    ...findUnusedStages(locatedRules),
    ...findIdleMoves(locatedRules),
    ...findMissingKinds(locatedRules),
    ...findUnreachableLimits(locatedRules),
    ...describeChanges(changes, locatedRules),
  ];
  return sortByLine(findings).map((finding) => ({ fileName, ...finding }));
}

function findUnusedStages(lines: readonly LocatedRule[]): readonly LocalFinding[] {
  const usedStages = collectUsedStages(lines);
  return selectKind(lines, 'stage')
    .filter(({ rule }) => !usedStages.has(rule.name))
    .map(({ line, rule }) => ({
      kind: 'unused-stage',
      severity: 'notice',
      line,
      found: `\`stage ${rule.name}\` in no route`,
      expected: 'a route that uses it',
    }));
}

/** The parser accepts a move of any group that has a stage, but only routes bring traffic. */
function findIdleMoves(lines: readonly LocatedRule[]): readonly LocalFinding[] {
  const usedStages = collectUsedStages(lines);
  const usedGroups = new Set(
    selectKind(lines, 'stage').flatMap(({ rule }) =>
      usedStages.has(rule.name) ? [rule.targetGroup] : [],
    ),
  );
  return selectKind(lines, 'move')
    .filter(({ rule }) => !usedGroups.has(rule.targetGroup))
    .map(({ line, rule }) => ({
      kind: 'idle-move',
      severity: 'problem',
      line,
      found: `\`move ${rule.targetGroup}\` of a target group without traffic`,
      expected: `a route with a stage on ${rule.targetGroup}`,
    }));
}

/** Without organisations every call is refused, and without routes there is nothing to call. */
function findMissingKinds(lines: readonly LocatedRule[]): readonly LocalFinding[] {
  const [organisation] = selectKind(lines, 'organisation');
  const [route] = selectKind(lines, 'route');
  if (route && !organisation) {
    const found = `\`route ${route.rule.name}\` in a file without organisations`;
    const expected = 'an organisation that can call it';
    return [{ kind: 'no-organisation', severity: 'problem', line: route.line, found, expected }];
  }
  if (organisation && !route) {
    const found = `\`organisation ${organisation.rule.name}\` in a file without routes`;
    const expected = 'a route that it can call';
    return [{ kind: 'no-route', severity: 'problem', line: organisation.line, found, expected }];
  }
  return [];
}

/**
 * An organisation has no more calls in flight than it may start within the longest deadline, and
 * one second of calls that it may start at once. Only a notice, as callers may state a longer
 * deadline than that of the route.
 */
function findUnreachableLimits(lines: readonly LocatedRule[]): readonly LocalFinding[] {
  const routes = selectKind(lines, 'route');
  const longestDeadlineMs = Math.max(0, ...routes.map(({ rule }) => rule.deadlineMs));
  return selectKind(lines, 'limit').flatMap(({ line, rule }) => {
    const { requestsPerSecond, inFlight } = rule;
    const maxCalls = Math.ceil((requestsPerSecond * (MS_PER_S + longestDeadlineMs)) / MS_PER_S);
    if (routes.length === 0 || inFlight <= maxCalls) {
      return [];
    }
    const reason = `\`requests-per-second=${requestsPerSecond}\` and the longest route deadline of ${formatDuration(longestDeadlineMs)}`;
    return [
      {
        kind: 'unreachable-limit',
        severity: 'notice',
        line,
        found: `\`in-flight=${inFlight}\``,
        expected: `at most ${maxCalls}, which ${reason} allow`,
      },
    ];
  });
}

function describeChanges(
  changes: readonly RuleChange[],
  lines: readonly LocatedRule[],
): readonly LocalFinding[] {
  const lineByKey = new Map(lines.map(({ line, rule }) => [getRuleKey(rule), line]));
  const findLine = (rule: Rule): number => lineByKey.get(getRuleKey(rule)) ?? 0;
  return changes.map((change) => {
    const before = change.kind === 'added' ? 'no such rule' : `\`${formatRule(change.before)}\``;
    const expected = `${before}, as accepted`;
    return change.kind === 'removed'
      ? {
          kind: 'removed-rule',
          severity: 'notice',
          line: 0,
          found: `no \`${getRuleKey(change.before)}\``,
          expected,
        }
      : {
          kind: `${change.kind}-rule`,
          severity: 'notice',
          line: findLine(change.after),
          found: `\`${formatRule(change.after)}\``,
          expected,
        };
  });
}

function collectUsedStages(lines: readonly LocatedRule[]): ReadonlySet<string> {
  return new Set(selectKind(lines, 'route').flatMap(({ rule }) => rule.stages));
}
