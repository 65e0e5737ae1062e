import { MAX_DEADLINE_MS } from '@galenatiller/constants';
import type { Rule, RuleKind } from '@galenatiller/types';

import { ItemReader } from './itemReader.js';
import type { BodySyntax, RuleSyntax } from './ruleLineParser.js';
import type { LocalProblem } from './ruleProblem.js';
import {
  createIntegerFormat,
  createDurationFormat,
  INSTANT_FORMAT,
  KEY_HASH_FORMAT,
  NAME_FORMAT,
  SHARE_FORMAT,
  createEnumFormat,
} from './valueFormats.js';

/** Options of {@link readRule}. */
export interface ReadRuleOptions {
  readonly syntax: RuleSyntax;
  readonly askedBy: string;
}

/** A rule with the problems of its own line; with problems, some fields are stand-ins. */
export interface ReadRuleResult {
  readonly rule: Rule;
  readonly problems: readonly LocalProblem[];
}

type Body<Kind extends RuleKind> = Extract<BodySyntax, { kind: Kind }>;

const MAX_WEIGHT = 1_000;
const MAX_TOKENS = 1_000_000;
const MAX_REQUESTS = 1_000_000;

/** Two keys are valid at once while one replaces the other. */
const MAX_KEYS = 2;

const WORK = createEnumFormat(['encode', 'retrieve', 'rerank', 'generate', 'call']);
const PRIORITY = createEnumFormat(['interactive', 'batch']);
const ZONE_STATE = createEnumFormat(['in', 'out']);

/** Reads the values of one rule line. */
export function readRule({ syntax, askedBy }: ReadRuleOptions): ReadRuleResult {
  const items = ItemReader.create(syntax);
  const rule = readBody(syntax.body, items, askedBy);
  return { rule, problems: items.listProblems() };
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
        name: items.readWord(body.name, NAME_FORMAT, body.name.image),
        state: items.readWord(body.state, ZONE_STATE, 'in'),
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
  const name = items.readWord(body.name, NAME_FORMAT, body.name.image);
  switch (body.kind) {
    case 'organisation':
      return {
        kind: 'organisation',
        name,
        keyHashes: items.readListItem({
          name: 'key-sha256',
          format: KEY_HASH_FORMAT,
          maxValues: MAX_KEYS,
        }),
        weight: items.readItem({
          name: 'weight',
          format: createIntegerFormat(1, MAX_WEIGHT),
          fallback: 1,
          isOptional: true,
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
        fromVersion: items.readItem({ name: 'from', format: NAME_FORMAT, fallback: '' }),
        toVersion: items.readItem({ name: 'to', format: NAME_FORMAT, fallback: '' }),
        byWallMs: items.readItem({ name: 'by', format: INSTANT_FORMAT, fallback: 0 }),
        unprovenShare: items.readItem({
          name: 'unproven-share',
          format: SHARE_FORMAT,
          fallback: 1,
        }),
        askedBy,
      };
  }
}

function readRequests(items: ItemReader, name: string): number {
  return items.readItem({ name, format: createIntegerFormat(1, MAX_REQUESTS), fallback: 1 });
}

function readStage(body: Body<'stage'>, items: ItemReader, askedBy: string): Rule {
  const work = items.readWord(body.work, WORK, 'call');
  const generates = body.work.image === 'generate';
  const calls = body.work.image === 'call';
  return {
    kind: 'stage',
    name: items.readWord(body.name, NAME_FORMAT, body.name.image),
    work,
    targetGroup: items.readWord(body.targetGroup, NAME_FORMAT, body.targetGroup.image),
    // Only services have calls that may not be repeated, and only generation has a length.
    idempotent: !(calls && items.readFlag('at-most-once')),
    maxTokens: generates
      ? items.readItem({
          name: 'max-tokens',
          format: createIntegerFormat(1, MAX_TOKENS),
          fallback: 1,
        })
      : 0,
    askedBy,
  };
}

function readRoute(body: Body<'route'>, items: ItemReader, askedBy: string): Rule {
  return {
    kind: 'route',
    name: items.readWord(body.name, NAME_FORMAT, body.name.image),
    stages: body.stages.map((stage) => stage.image),
    deadlineMs: items.readItem({
      name: 'deadline',
      format: createDurationFormat(MAX_DEADLINE_MS),
      fallback: 1,
    }),
    priority: items.readItem({
      name: 'priority',
      format: PRIORITY,
      fallback: 'interactive',
      isOptional: true,
    }),
    askedBy,
  };
}
