import type { Rule } from '@galenatiller/types';
import type { IToken } from 'chevrotain';
import { Ord as numberOrd } from 'fp-ts/lib/number.js';
import { contramap } from 'fp-ts/lib/Ord.js';
import { sortBy } from 'fp-ts/lib/ReadonlyArray.js';
import { Result } from 'true-myth';

import { findNearestName } from '@galenatiller/error';
import { checkRules, type RuleLine } from './checkRules.js';
import { readRule } from './readRule.js';
import { RuleLineParser } from './ruleLineParser.js';
import type { LocalProblem, RuleProblem } from './ruleProblem.js';
import { splitRuleLines, type TokenLine } from './ruleTokens.js';

/** Options of {@link parseRules}. */
export interface ParseRulesOptions {
  readonly text: string;
  /** Name for problems only; no file is read. */
  readonly fileName: string;
}

/** The rules of one file, in its order. */
export interface ParsedRules {
  readonly fileName: string;
  readonly rules: readonly Rule[];
}

const RULE_KINDS = ['organisation', 'stage', 'route', 'limit', 'zone', 'move'];

const PARSER = RuleLineParser.create();

const sortByPosition = sortBy<LocalProblem>([
  contramap((problem: LocalProblem) => problem.line)(numberOrd),
  contramap((problem: LocalProblem) => problem.column)(numberOrd),
]);

/** Reads a rules file; on failure gives every problem in the order of the text. */
export function parseRules(opts: ParseRulesOptions): Result<ParsedRules, readonly RuleProblem[]> {
  const tokenLines = splitRuleLines(opts.text);
  const { lines, problems } = readLines(tokenLines);
  const found = [...problems, ...checkRules({ lines, declaredNames: declaredNames(tokenLines) })];
  if (found.length === 0) {
    return Result.ok({ fileName: opts.fileName, rules: lines.map(({ rule }) => rule) });
  }
  return Result.err(
    sortByPosition(found).map((problem) => ({ fileName: opts.fileName, ...problem })),
  );
}

interface ReadLines {
  readonly lines: readonly RuleLine[];
  readonly problems: readonly LocalProblem[];
}

function readLines(tokenLines: readonly TokenLine[]): ReadLines {
  const lines: RuleLine[] = [];
  const problems: LocalProblem[] = [];
  tokenLines.forEach(({ tokens, askedBy }) => {
    problems.push(...askedBy.match({ Ok: () => [], Err: (problem) => [problem] }));
    const syntax = PARSER.parseLine(tokens);
    if (syntax.isErr) {
      problems.push(withKindHint(syntax.error, tokens));
      return;
    }
    const read = readRule({ syntax: syntax.value, askedBy: askedBy.unwrapOr('') });
    lines.push({ syntax: syntax.value, rule: read.rule });
    problems.push(...read.problems);
  });
  return { lines, problems };
}

/** Names the nearest kind of rule when the first word is none. */
function withKindHint(problem: LocalProblem, words: readonly IToken[]): LocalProblem {
  const found = words[0]?.image ?? '';
  return RULE_KINDS.includes(found)
    ? problem
    : { ...problem, nearest: findNearestName({ found, names: RULE_KINDS }) };
}

/** A line with an error still declares its name, so that one error gives one problem. */
function declaredNames(tokenLines: readonly TokenLine[]): ReadonlyMap<string, ReadonlySet<string>> {
  const declared = new Map(RULE_KINDS.map((kind) => [kind, new Set<string>()]));
  tokenLines.forEach(({ tokens: [kind, name] }) => {
    if (kind && name) {
      declared.get(kind.image)?.add(name.image);
    }
  });
  return declared;
}
