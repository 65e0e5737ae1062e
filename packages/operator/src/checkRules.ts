import type { IToken } from 'chevrotain';
import type { Rule, RuleKind, StageKind } from '@galenatiller/types';

import { findNearestName } from '@galenatiller/error';
import type { RuleSyntax } from './ruleLineParser.js';
import type { LocalProblem } from './ruleProblem.js';
import { getTokenStart } from './ruleTokens.js';
import { selectKind } from './selectKind.js';

/** A rule with the tokens it was parsed from. */
export interface RuleLine {
  readonly syntax: RuleSyntax;
  readonly rule: Rule;
}

/** Options of {@link checkRules}. */
export interface CheckRulesOptions {
  readonly lines: readonly RuleLine[];
  /** Names declared in the file by kind of rule, including those on lines that have errors. */
  readonly declaredNames: ReadonlyMap<string, ReadonlySet<string>>;
}

type LineOf<Kind extends RuleKind> = RuleLine & { readonly rule: Extract<Rule, { kind: Kind }> };

/** Only the first unknown names get a suggestion, because each search compares against all names. */
const MAX_SUGGESTIONS = 20;

/** For each stage kind, the kinds that may follow it in a route because they accept its result. */
const ALLOWED_NEXT_KINDS: Record<StageKind | 'start', readonly StageKind[]> = {
  start: ['encode', 'generate', 'call'],
  encode: ['retrieve'],
  retrieve: ['rerank', 'generate', 'call'],
  rerank: ['generate', 'call'],
  generate: ['generate', 'call'],
  call: [],
};

/** Checks the rules of a file against each other: duplicates, unknown names and invalid routes. */
export function checkRules(opts: CheckRulesOptions): readonly LocalProblem[] {
  return [
    ...findDuplicateRules(opts.lines),
    ...findSharedKeyHashes(selectKind(opts.lines, 'organisation')),
    ...findUnknownStages(opts),
    ...findInvalidStageSequences(opts.lines),
    ...findUnknownOrganisations(opts),
    ...findInvalidMoves(opts.lines),
  ];
}

function findDuplicateRules(lines: readonly RuleLine[]): readonly LocalProblem[] {
  const firstLines = new Map<string, number>();
  return lines.flatMap(({ syntax: { body } }) => {
    const key = `${body.kind} ${body.name.image}`;
    const firstLine = firstLines.get(key);
    if (firstLine === undefined) {
      firstLines.set(key, getTokenStart(body.name).line);
      return [];
    }
    const found = `a second \`${key}\``;
    return [createProblem(body.name, found, `one \`${key}\`; the first is on line ${firstLine}`)];
  });
}

/** A caller is identified by its key, so two organisations can't share one. */
function findSharedKeyHashes(lines: readonly LineOf<'organisation'>[]): readonly LocalProblem[] {
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
      : [
          createProblem(
            token,
            `a digest that ${firstOwner} already uses`,
            'a digest that is used once',
          ),
        ];
  });
}

function findUnknownStages(opts: CheckRulesOptions): readonly LocalProblem[] {
  const tokens = opts.lines.flatMap(({ syntax: { body } }) =>
    body.kind === 'route' ? body.stages : [],
  );
  return findUnknownNames(tokens, 'a stage', opts.declaredNames.get('stage') ?? new Set());
}

function findUnknownOrganisations(opts: CheckRulesOptions): readonly LocalProblem[] {
  const tokens = selectKind(opts.lines, 'limit').map(({ syntax }) => syntax.body.name);
  return findUnknownNames(
    tokens,
    'an organisation',
    opts.declaredNames.get('organisation') ?? new Set(),
  );
}

function findInvalidStageSequences(lines: readonly RuleLine[]): readonly LocalProblem[] {
  // A stage whose kind is misspelt is already reported and is left out here.
  const kindByStage = new Map(
    selectKind(lines, 'stage')
      .filter(
        ({ rule, syntax: { body } }) => body.kind === 'stage' && body.work.image === rule.work,
      )
      .map(({ rule }) => [rule.name, rule.work]),
  );
  return lines.flatMap(({ syntax: { body } }) =>
    body.kind === 'route' ? checkStageSequence(body.stages, kindByStage) : [],
  );
}

function checkStageSequence(
  stages: readonly IToken[],
  kindByStage: ReadonlyMap<string, StageKind>,
): readonly LocalProblem[] {
  let previousKind: StageKind | 'start' | undefined = 'start';
  return stages.flatMap((token) => {
    const allowed = previousKind && ALLOWED_NEXT_KINDS[previousKind];
    const kind = kindByStage.get(token.image);
    const place = previousKind === 'start' ? 'at the start' : `after ${previousKind}`;
    previousKind = kind;
    if (!kind || !allowed || allowed.includes(kind)) {
      return [];
    }
    const kinds = allowed.length === 0 ? 'no stage' : `a stage of kind ${allowed.join(' or ')}`;
    return [createProblem(token, `\`${token.image}\` of kind ${kind}`, `${kinds} ${place}`)];
  });
}

function findInvalidMoves(lines: readonly RuleLine[]): readonly LocalProblem[] {
  const groups = new Set(selectKind(lines, 'stage').map(({ rule }) => rule.targetGroup));
  const moves = selectKind(lines, 'move');
  const tokens = moves.map(({ syntax }) => syntax.body.name);
  const unchangedMoves = moves.flatMap(({ rule, syntax }) => {
    const to = syntax.items.find((item) => item.name.image === 'to')?.values[0];
    return to && rule.fromVersion === rule.toVersion
      ? [createProblem(to, `\`${to.image}\``, 'a version other than `from`')]
      : [];
  });
  return [...findUnknownNames(tokens, 'a target group', groups), ...unchangedMoves];
}

function findUnknownNames(
  tokens: readonly IToken[],
  description: string,
  names: ReadonlySet<string>,
): readonly LocalProblem[] {
  return tokens
    .filter((token) => !names.has(token.image))
    .map((token, index) => {
      const nearest = index < MAX_SUGGESTIONS ? findNearestName({ found: token.image, names }) : '';
      return createProblem(token, `\`${token.image}\``, `${description} of this file`, nearest);
    });
}

function createProblem(token: IToken, found: string, expected: string, nearest = ''): LocalProblem {
  return { ...getTokenStart(token), found, expected, nearest };
}
