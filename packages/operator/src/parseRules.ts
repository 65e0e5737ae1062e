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
import { getTokenStart, splitRuleLines, type TokenLine } from './ruleTokens.js';

/** Options of {@link parseRules}. */
export interface ParseRulesOptions {
  readonly text: string;
  /** Name shown in problems; the file itself is not read. */
  readonly fileName: string;
}

/** A rule with its line in the file, which is 1-based. */
export interface LocatedRule {
  readonly line: number;
  readonly rule: Rule;
}

/** The rules of one file, in file order. */
export interface ParsedRules {
  readonly fileName: string;
  readonly rules: readonly Rule[];
  /** The same rules with their lines. */
  readonly locatedRules: readonly LocatedRule[];
}

const RULE_KINDS = ['organisation', 'stage', 'route', 'limit', 'zone', 'move'];

const PARSER = RuleLineParser.create();

const sortByPosition = sortBy<LocalProblem>([
  contramap((problem: LocalProblem) => problem.line)(numberOrd),
  contramap((problem: LocalProblem) => problem.column)(numberOrd),
]);

/** Parses the text of a rules file. On failure it returns all problems, in text order. */
export function parseRules(opts: ParseRulesOptions): Result<ParsedRules, readonly RuleProblem[]> {
  const tokenLines = splitRuleLines(opts.text);
  const { lines, problems } = parseLines(tokenLines);
  const allProblems = [
    ...problems,
    ...checkRules({ lines, declaredNames: collectDeclaredNames(tokenLines) }),
  ];
  if (allProblems.length === 0) {
    return Result.ok({
      fileName: opts.fileName,
      rules: lines.map(({ rule }) => rule),
      locatedRules: lines.map(({ syntax, rule }) => ({
        line: getTokenStart(syntax.body.name).line,
        rule,
      })),
    });
  }
  return Result.err(
    sortByPosition(allProblems).map((problem) => ({ fileName: opts.fileName, ...problem })),
  );
}

interface ParsedLines {
  readonly lines: readonly RuleLine[];
  readonly problems: readonly LocalProblem[];
}

function parseLines(tokenLines: readonly TokenLine[]): ParsedLines {
  const lines: RuleLine[] = [];
  const problems: LocalProblem[] = [];
  tokenLines.forEach(({ tokens, askedBy }) => {
    problems.push(...askedBy.match({ Ok: () => [], Err: (problem) => [problem] }));
    const syntax = PARSER.parseLine(tokens);
    if (syntax.isErr) {
      problems.push(withKindSuggestion(syntax.error, tokens));
      return;
    }
    const result = readRule({ syntax: syntax.value, askedBy: askedBy.unwrapOr('') });
    lines.push({ syntax: syntax.value, rule: result.rule });
    problems.push(...result.problems);
  });
  return { lines, problems };
}

/** Suggests the nearest kind of rule when the first word of the line is not one. */
function withKindSuggestion(problem: LocalProblem, tokens: readonly IToken[]): LocalProblem {
  const found = tokens[0]?.image ?? '';
  return RULE_KINDS.includes(found)
    ? problem
    : { ...problem, nearest: findNearestName({ found, names: RULE_KINDS }) };
}

/**
 * Collects names from all lines, including those with errors, so that an error in a declaration is
 * not also reported wherever the name is used.
 */
function collectDeclaredNames(
  tokenLines: readonly TokenLine[],
): ReadonlyMap<string, ReadonlySet<string>> {
  const declaredNames = new Map(RULE_KINDS.map((kind) => [kind, new Set<string>()]));
  tokenLines.forEach(({ tokens: [kind, name] }) => {
    if (kind && name) {
      declaredNames.get(kind.image)?.add(name.image);
    }
  });
  return declaredNames;
}
