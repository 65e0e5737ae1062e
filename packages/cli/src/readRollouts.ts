import type { MoveStatus, NodeStatus } from '@galenatiller/operator';
import type { MoveRule } from '@galenatiller/types';

import type { NodeMoveStatus, Rollout, RolloutReport } from './commandReport.js';
import { createUnknownError } from './createUnknownError.js';
import type { Platform } from './platform.js';
import { type HostResponse, queryHosts, listHostErrors } from './queryHosts.js';

/** Reads how far each version move is, from the accepted rules and from every node. */
export async function readRollouts(opts: { readonly platform: Platform }): Promise<RolloutReport> {
  const { readConfiguration, fetchHosts, fetchStatus } = opts.platform;
  const [configuration, fleet] = await Promise.all([
    readConfiguration(),
    queryHosts({ fetchHosts, queryHost: fetchStatus }),
  ]);
  const rules = configuration.isOk ? configuration.value.rules : [];
  const moveRules = rules.filter((rule): rule is MoveRule => rule.kind === 'move');
  const answers = fleet.unwrapOr([]);
  const nodeMoves = answers.flatMap(movesOf);
  return {
    command: 'rollout',
    rollouts: joinMoves(moveRules, nodeMoves),
    unknown: [
      ...(configuration.isErr
        ? [createUnknownError(configuration.error, 'which moves are accepted')]
        : []),
      ...(fleet.isErr ? [createUnknownError(fleet.error, 'how far the moves are')] : []),
      ...listHostErrors(answers),
    ],
  };
}

function movesOf({ response }: HostResponse<NodeStatus>): readonly NodeMoveStatus[] {
  return response.isOk
    ? response.value.moves.map((move) => ({ nodeName: response.value.nodeName, move }))
    : [];
}

/** A move that only nodes know, because the store is down or it has just ended, is told too. */
function joinMoves(
  rules: readonly MoveRule[],
  nodeMoves: readonly NodeMoveStatus[],
): readonly Rollout[] {
  const keys = new Set([...rules, ...nodeMoves.map(({ move }) => move)].map(moveKey));
  return [...keys].flatMap((key) => {
    const rule = rules.find((each) => moveKey(each) === key);
    const nodes = nodeMoves.filter(({ move }) => moveKey(move) === key);
    const move = rule ?? nodes[0]?.move;
    return move ? [toRollout(move, nodes, rule)] : [];
  });
}

function toRollout(
  move: MoveRule | MoveStatus,
  nodes: readonly NodeMoveStatus[],
  rule: MoveRule | undefined,
): Rollout {
  const { targetGroup, fromVersion, toVersion } = move;
  return { targetGroup, fromVersion, toVersion, nodes, ...(rule ? { rule } : {}) };
}

function moveKey(move: MoveRule | MoveStatus): string {
  return `${move.targetGroup} ${move.fromVersion} ${move.toVersion}`;
}
