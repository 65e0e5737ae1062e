import type { Configuration, RouteRule, StageRule } from '@galenatiller/types';

/** Options of {@link findRouteByWork}. */
export interface FindRouteByWorkOptions extends Pick<Configuration, 'routes' | 'stages'> {
  readonly work: StageRule['work'];
}

/** Finds a route with a single idempotent stage of the given kind of work. */
export function findRouteByWork({ routes, stages, work }: FindRouteByWorkOptions): RouteRule {
  const found = [...routes.values()].find((route) => {
    const stage = stages.get(route.stages[0] ?? '');
    return route.stages.length === 1 && stage?.work === work && stage.idempotent;
  });
  if (!found) {
    throw new Error(`the rules do not define a route with a single idempotent ${work} stage`);
  }
  return found;
}
