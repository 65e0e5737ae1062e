import type { MoveStatus, NodeStatus } from '@galenatiller/operator';
import type { MoveRule } from '@galenatiller/types';

import type { NodeMoveStatus, Rollout, RolloutReport } from './commandReport.js';
import { createUnknownError } from './createUnknownError.js';
import type { Platform } from './platform.js';
import { type HostResponse, queryHosts, listHostErrors } from './queryHosts.js';

/** Reads the progress of each version move from the accepted rules and from all nodes. */
export async function readRollouts(opts: { readonly platform: Platform }): Promise<RolloutReport> {
  const { readConfiguration, fetchHosts, fetchStatus } = opts.platform;
  const [configuration, nodes] = await Promise.all([
    readConfiguration(),
    queryHosts({ fetchHosts, queryHost: fetchStatus }),
  ]);
  const rules = configuration.isOk ? configuration.value.rules : [];
  const moveRules = rules.filter((rule): rule is MoveRule => rule.kind === 'move');
  const responses = nodes.unwrapOr([]);
  const nodeMoves = responses.flatMap(listMoves);
  return {
    command: 'rollout',
    rollouts: joinMoves(moveRules, nodeMoves),
    unknown: [
      ...(configuration.isErr
        ? [createUnknownError(configuration.error, 'which moves are accepted')]
        : []),
      ...(nodes.isErr ? [createUnknownError(nodes.error, 'the progress of the moves')] : []),
      ...listHostErrors(responses),
    ],
  };
}

function listMoves({ response }: HostResponse<NodeStatus>): readonly NodeMoveStatus[] {
  return response.isOk
    ? response.value.moves.map((move) => ({ nodeName: response.value.nodeName, move }))
    : [];
}

/**
 * Joins rules and progress by move. Moves that only nodes know are included: the store may be down, or
 * the rule may just have been removed.
 */
function joinMoves(
  rules: readonly MoveRule[],
  nodeMoves: readonly NodeMoveStatus[],
): readonly Rollout[] {
  const keys = new Set([...rules, ...nodeMoves.map(({ move }) => move)].map(getMoveKey));
  return [...keys].flatMap((key) => {
    const rule = rules.find((each) => getMoveKey(each) === key);
    const nodes = nodeMoves.filter(({ move }) => getMoveKey(move) === key);
    const move = rule ?? nodes[0]?.move;
    return move ? [createRollout(move, nodes, rule)] : [];
  });
}

function createRollout(
  move: MoveRule | MoveStatus,
  nodes: readonly NodeMoveStatus[],
  rule: MoveRule | undefined,
): Rollout {
  const { targetGroup, fromVersion, toVersion } = move;
  return { targetGroup, fromVersion, toVersion, nodes, ...(rule ? { rule } : {}) };
}

function getMoveKey(move: MoveRule | MoveStatus): string {
  return `${move.targetGroup} ${move.fromVersion} ${move.toVersion}`;
}
