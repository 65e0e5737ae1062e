/** The graph of the stages of a route, whose numbers say nothing about the order in which they run. */
import type { RouteStage } from '@galenatiller/types';

/** A stage and its number in the route. */
export interface NumberedStage {
  readonly position: number;
  readonly stage: RouteStage;
}

/** Orders that were computed before, since calls of a route share its list of stages. */
const knownOrders = new WeakMap<readonly RouteStage[], readonly NumberedStage[]>();

/**
 * Sorts stages so that each stands after those that it depends on, and otherwise by number. Throws for
 * stages of which {@link findStageProblems} finds that they can't run.
 */
export function orderStages(stages: readonly RouteStage[]): readonly NumberedStage[] {
  const known = knownOrders.get(stages);
  if (known) {
    return known;
  }
  const order = orderStartable(stages);
  if (order.length < stages.length) {
    throw new Error(findStageProblems(stages).join('; '));
  }
  knownOrders.set(stages, order);
  return order;
}

/** Sorts the stages that can start, and leaves out those that never can. */
function orderStartable(stages: readonly RouteStage[]): readonly NumberedStage[] {
  const numbered = stages.map((stage, position) => ({ position, stage }));
  const placed = new Set<number>();
  const order: NumberedStage[] = [];
  for (;;) {
    const next = numbered.find(
      ({ position, stage }) =>
        !placed.has(position) && stage.dependsOn.every((dependency) => placed.has(dependency)),
    );
    if (!next) {
      return order;
    }
    placed.add(next.position);
    order.push(next);
  }
}

/** Positions of the stages that no other stage depends on; their results are inputs of the call. */
export function findLastStages(stages: readonly RouteStage[]): readonly number[] {
  const used = new Set(stages.flatMap(({ dependsOn }) => dependsOn));
  return stages.map((_, position) => position).filter((position) => !used.has(position));
}

/** Why the stages of a route can't run as written; empty if they can. */
export function findStageProblems(stages: readonly RouteStage[]): readonly string[] {
  if (knownOrders.has(stages)) {
    return [];
  }
  const unknown = stages.flatMap(({ dependsOn }, position) =>
    dependsOn
      .filter((dependency) => stages[dependency] === undefined)
      .map(
        (dependency) => `stage ${position} depends on stage ${dependency}, which does not exist`,
      ),
  );
  if (unknown.length > 0) {
    return unknown;
  }
  const order = orderStartable(stages);
  if (order.length === stages.length) {
    knownOrders.set(stages, order);
    return [];
  }
  const ordered = new Set(order.map(({ position }) => position));
  const stuck = stages.map((_, position) => position).filter((position) => !ordered.has(position));
  return [
    `no order of the stages ${stuck.join(', ')} is possible: they depend on each other or on themselves`,
  ];
}
