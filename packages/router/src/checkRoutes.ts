import type { InvalidRoute, RouteConfig, RouterConfig, RouteStage } from '@galenatiller/types';

import { findStageProblems } from './stageGraph.js';

/** Moves the routes of a configuration that can't be run as written to its invalid routes. */
export function checkRoutes(configuration: RouterConfig): RouterConfig {
  const batchServices = new Set(
    configuration.services.flatMap(({ name, batch }) => (batch ? [name] : [])),
  );
  const problems = new Map<RouteConfig, readonly string[]>();
  configuration.routes.forEach((route) => {
    const found = findProblems(route.stages, batchServices);
    if (found.length > 0) {
      problems.set(route, found);
    }
  });
  if (problems.size === 0) {
    return configuration;
  }
  return {
    ...configuration,
    routes: configuration.routes.filter((route) => !problems.has(route)),
    invalidRoutes: [
      ...configuration.invalidRoutes,
      ...[...problems].map(([route, found]) => toInvalidRoute(route, found)),
    ],
  };
}

const NO_PROBLEMS: readonly string[] = [];

function findProblems(
  stages: readonly RouteStage[],
  batchServices: ReadonlySet<string>,
): readonly string[] {
  return stages.length === 0
    ? NO_PROBLEMS
    : [...findStageProblems(stages), ...findUnservedStages(stages, batchServices)];
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
