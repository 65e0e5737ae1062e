import { MAX_DEADLINE_MS } from '@galenatiller/constants';
import type { Rule, RuleKind } from '@galenatiller/types';

import { ItemReader } from './itemReader.js';
import type { BodySyntax, RuleSyntax } from './ruleLineParser.js';
import type { LocalProblem } from './ruleProblem.js';
import { countForm, durationForm, INSTANT, KEY_HASH, NAME, SHARE, wordForm } from './ruleValues.js';

/** Options of {@link readRule}. */
export interface ReadRuleOptions {
  readonly syntax: RuleSyntax;
  readonly askedBy: string;
}

/** A rule with the problems of its own line; with problems, some fields are stand-ins. */
export interface ReadRule {
  readonly rule: Rule;
  readonly problems: readonly LocalProblem[];
}

type Body<Kind extends RuleKind> = Extract<BodySyntax, { kind: Kind }>;

const MAX_WEIGHT = 1_000;
const MAX_TOKENS = 1_000_000;
const MAX_REQUESTS = 1_000_000;

/** Two keys are valid at once while one replaces the other. */
const MAX_KEYS = 2;

const WORK = wordForm(['encode', 'retrieve', 'rerank', 'generate', 'call']);
const PRIORITY = wordForm(['interactive', 'batch']);
const ZONE_STATE = wordForm(['in', 'out']);

/** Reads the values of one rule line. */
export function readRule({ syntax, askedBy }: ReadRuleOptions): ReadRule {
  const items = ItemReader.create(syntax);
  const rule = readBody(syntax.body, items, askedBy);
  return { rule, problems: items.finish() };
}

function readBody(body: BodySyntax, items: ItemReader, askedBy: string): Rule {
  switch (body.kind) {
    case 'stage':
      return readStage(body, items, askedBy);
    case 'route':
      return readRoute(body, items, askedBy);
    case 'zone':
      return {
        kind: 'zone',
        name: items.word(body.name, NAME, body.name.image),
        state: items.word(body.state, ZONE_STATE, 'in'),
        askedBy,
      };
    default:
      return readNamed(body, items, askedBy);
  }
}

function readNamed(
  body: Body<'organisation' | 'limit' | 'move'>,
  items: ItemReader,
  askedBy: string,
): Rule {
  const name = items.word(body.name, NAME, body.name.image);
  switch (body.kind) {
    case 'organisation':
      return {
        kind: 'organisation',
        name,
        keyHashes: items.many({ name: 'key-sha256', form: KEY_HASH, max: MAX_KEYS }),
        weight: items.one({
          name: 'weight',
          form: countForm(1, MAX_WEIGHT),
          fallback: 1,
          optional: true,
        }),
        askedBy,
      };
    case 'limit':
      return {
        kind: 'limit',
        organisation: name,
        requestsPerSecond: readRequests(items, 'requests-per-second'),
        inFlight: readRequests(items, 'in-flight'),
        askedBy,
      };
    default:
      return {
        kind: 'move',
        targetGroup: name,
        fromVersion: items.one({ name: 'from', form: NAME, fallback: '' }),
        toVersion: items.one({ name: 'to', form: NAME, fallback: '' }),
        byWallMs: items.one({ name: 'by', form: INSTANT, fallback: 0 }),
        unprovenShare: items.one({ name: 'unproven-share', form: SHARE, fallback: 1 }),
        askedBy,
      };
  }
}

function readRequests(items: ItemReader, name: string): number {
  return items.one({ name, form: countForm(1, MAX_REQUESTS), fallback: 1 });
}

function readStage(body: Body<'stage'>, items: ItemReader, askedBy: string): Rule {
  const work = items.word(body.work, WORK, 'call');
  const generates = body.work.image === 'generate';
  const calls = body.work.image === 'call';
  return {
    kind: 'stage',
    name: items.word(body.name, NAME, body.name.image),
    work,
    targetGroup: items.word(body.targetGroup, NAME, body.targetGroup.image),
    // Only services have calls that may not be repeated, and only generation has a length.
    idempotent: !(calls && items.flag('at-most-once')),
    maxTokens: generates
      ? items.one({ name: 'max-tokens', form: countForm(1, MAX_TOKENS), fallback: 1 })
      : 0,
    askedBy,
  };
}

function readRoute(body: Body<'route'>, items: ItemReader, askedBy: string): Rule {
  return {
    kind: 'route',
    name: items.word(body.name, NAME, body.name.image),
    stages: body.stages.map((stage) => stage.image),
    deadlineMs: items.one({ name: 'deadline', form: durationForm(MAX_DEADLINE_MS), fallback: 1 }),
    priority: items.one({
      name: 'priority',
      form: PRIORITY,
      fallback: 'interactive',
      optional: true,
    }),
    askedBy,
  };
}
