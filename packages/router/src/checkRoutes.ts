import type { InvalidRoute, RouteConfig, RouterConfig, RouteStage } from '@galenatiller/types';

import { findStageProblems } from './stageGraph.js';

/** Moves the routes of a configuration that can't be run as written to its invalid routes. */
export function checkRoutes(configuration: RouterConfig): RouterConfig {
  const batchServices = new Set(
    configuration.services.flatMap(({ name, batch }) => (batch ? [name] : [])),
  );
  const checked = configuration.routes.map((route) => ({
    route,
    problems: [
      ...findStageProblems(route.stages),
      ...findUnservedStages(route.stages, batchServices),
    ],
  }));
  return {
    ...configuration,
    routes: checked.flatMap(({ route, problems }) => (problems.length === 0 ? [route] : [])),
    invalidRoutes: [
      ...configuration.invalidRoutes,
      ...checked.flatMap(({ route, problems }) =>
        problems.length === 0 ? [] : [toInvalidRoute(route, problems)],
      ),
    ],
  };
}

/** Without limits for batches, no worker of a service is sent pieces, and calls would wait for their deadline. */
function findUnservedStages(
  stages: readonly RouteStage[],
  batchServices: ReadonlySet<string>,
): readonly string[] {
  return stages.flatMap(({ service }, position) =>
    batchServices.has(service)
      ? []
      : [`stage ${position} runs on ${service}, which is not a service for pieces of stages`],
  );
}

/** What is wrong with a configuration, one sentence each; empty for one that is in force as a whole. */
export function findConfigurationProblems(configuration: RouterConfig): readonly string[] {
  const { invalidRoutes, unreadable } = checkRoutes(configuration);
  return [
    ...invalidRoutes.flatMap(({ name, problems }) =>
      problems.map((problem) => `route ${name} is refused: ${problem}`),
    ),
    ...unreadable,
  ];
}

function toInvalidRoute(route: RouteConfig, problems: readonly string[]): InvalidRoute {
  const { name, host, pathPrefix, isPublic } = route;
  return { name, host, pathPrefix, isPublic, problems };
}
