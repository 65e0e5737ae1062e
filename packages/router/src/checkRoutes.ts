import type { InvalidRoute, RouteConfig, RouterConfig } from '@galenatiller/types';

import { findStageProblems } from './stageGraph.js';

/** Moves the routes of a configuration that can't be run as written to its invalid routes. */
export function checkRoutes(configuration: RouterConfig): RouterConfig {
  const checked = configuration.routes.map((route) => ({
    route,
    problems: findStageProblems(route.stages),
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
