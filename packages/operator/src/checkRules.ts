import type { IToken } from 'chevrotain';
import type { Rule, RuleKind, StageKind } from '@galenatiller/types';

import { findNearestName } from '@galenatiller/error';
import type { RuleSyntax } from './ruleLineParser.js';
import type { LocalProblem } from './ruleProblem.js';
import { getTokenStart } from './ruleTokens.js';

/** A rule with the tokens that it was read from. */
export interface RuleLine {
  readonly syntax: RuleSyntax;
  readonly rule: Rule;
}

/** Options of {@link checkRules}. */
export interface CheckRulesOptions {
  readonly lines: readonly RuleLine[];
  /** Second word of every line by its first word, also of lines with errors of their own. */
  readonly declaredNames: ReadonlyMap<string, ReadonlySet<string>>;
}

type LineOf<Kind extends RuleKind> = RuleLine & { readonly rule: Extract<Rule, { kind: Kind }> };

/** Nearest names are sought for the first unknown names only: each search reads all names. */
const MAX_HINTS = 20;

/** Stage kinds that may follow each kind, whose result they need or accept. */
const NEXT_KINDS: Record<StageKind | 'start', readonly StageKind[]> = {
  start: ['encode', 'generate', 'call'],
  encode: ['retrieve'],
  retrieve: ['rerank', 'generate', 'call'],
  rerank: ['generate', 'call'],
  generate: ['generate', 'call'],
  call: [],
};

/** Finds what is wrong between the lines of a rules file. */
export function checkRules(opts: CheckRulesOptions): readonly LocalProblem[] {
  return [
    ...findRepeats(opts.lines),
    ...findSharedKeys(ofKind(opts.lines, 'organisation')),
    ...findUnknownStages(opts),
    ...findBrokenChains(opts.lines),
    ...findUnknownOrganisations(opts),
    ...findBadMoves(opts.lines),
  ];
}

function findRepeats(lines: readonly RuleLine[]): readonly LocalProblem[] {
  const firstLines = new Map<string, number>();
  return lines.flatMap(({ syntax: { body } }) => {
    const key = `${body.kind} ${body.name.image}`;
    const firstLine = firstLines.get(key);
    if (firstLine === undefined) {
      firstLines.set(key, getTokenStart(body.name).line);
      return [];
    }
    const found = `a second \`${key}\``;
    return [problemAt(body.name, found, `one \`${key}\`; the first is on line ${firstLine}`)];
  });
}

/** A key that two organisations share would not say who calls. */
function findSharedKeys(lines: readonly LineOf<'organisation'>[]): readonly LocalProblem[] {
  const owners = new Map<string, string>();
  const tokens = lines.flatMap(({ syntax }) =>
    syntax.items
      .filter((item) => item.name.image === 'key-sha256')
      .flatMap((item) => item.values.map((token) => ({ token, owner: syntax.body.name.image }))),
  );
  return tokens.flatMap(({ token, owner }) => {
    const firstOwner = owners.get(token.image);
    owners.set(token.image, firstOwner ?? owner);
    return firstOwner === undefined
      ? []
      : [problemAt(token, `a digest that ${firstOwner} has`, 'a digest that is used once')];
  });
}

function findUnknownStages(opts: CheckRulesOptions): readonly LocalProblem[] {
  const tokens = opts.lines.flatMap(({ syntax: { body } }) =>
    body.kind === 'route' ? body.stages : [],
  );
  return unknownNames(tokens, 'a stage', opts.declaredNames.get('stage') ?? new Set());
}

function findUnknownOrganisations(opts: CheckRulesOptions): readonly LocalProblem[] {
  const tokens = ofKind(opts.lines, 'limit').map(({ syntax }) => syntax.body.name);
  return unknownNames(
    tokens,
    'an organisation',
    opts.declaredNames.get('organisation') ?? new Set(),
  );
}

function findBrokenChains(lines: readonly RuleLine[]): readonly LocalProblem[] {
  // Where the kind of work is misspelt, that is problem enough.
  const workOf = new Map(
    ofKind(lines, 'stage')
      .filter(
        ({ rule, syntax: { body } }) => body.kind === 'stage' && body.work.image === rule.work,
      )
      .map(({ rule }) => [rule.name, rule.work]),
  );
  return lines.flatMap(({ syntax: { body } }) =>
    body.kind === 'route' ? brokenLinks(body.stages, workOf) : [],
  );
}

function brokenLinks(
  stages: readonly IToken[],
  workOf: ReadonlyMap<string, StageKind>,
): readonly LocalProblem[] {
  let previous: StageKind | 'start' | undefined = 'start';
  return stages.flatMap((token) => {
    const allowed = previous && NEXT_KINDS[previous];
    const work = workOf.get(token.image);
    const place = previous === 'start' ? 'at the start' : `after ${previous}`;
    previous = work;
    if (!work || !allowed || allowed.includes(work)) {
      return [];
    }
    const kinds = allowed.length === 0 ? 'no stage' : `a stage of kind ${allowed.join(' or ')}`;
    return [problemAt(token, `\`${token.image}\` of kind ${work}`, `${kinds} ${place}`)];
  });
}

function findBadMoves(lines: readonly RuleLine[]): readonly LocalProblem[] {
  const groups = new Set(ofKind(lines, 'stage').map(({ rule }) => rule.targetGroup));
  const moves = ofKind(lines, 'move');
  const tokens = moves.map(({ syntax }) => syntax.body.name);
  const stillMoves = moves.flatMap(({ rule, syntax }) => {
    const to = syntax.items.find((item) => item.name.image === 'to')?.values[0];
    return to && rule.fromVersion === rule.toVersion
      ? [problemAt(to, `\`${to.image}\``, 'a version other than `from`')]
      : [];
  });
  return [...unknownNames(tokens, 'a target group', groups), ...stillMoves];
}

function unknownNames(
  tokens: readonly IToken[],
  what: string,
  names: ReadonlySet<string>,
): readonly LocalProblem[] {
  return tokens
    .filter((token) => !names.has(token.image))
    .map((token, index) => {
      const nearest = index < MAX_HINTS ? findNearestName({ found: token.image, names }) : '';
      return problemAt(token, `\`${token.image}\``, `${what} of this file`, nearest);
    });
}

function problemAt(token: IToken, found: string, expected: string, nearest = ''): LocalProblem {
  return { ...getTokenStart(token), found, expected, nearest };
}

function ofKind<Kind extends RuleKind>(
  lines: readonly RuleLine[],
  kind: Kind,
): readonly LineOf<Kind>[] {
  return lines.filter((line): line is LineOf<Kind> => line.rule.kind === kind);
}
