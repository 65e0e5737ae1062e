import type {
  InvalidRoute,
  OrganisationConfig,
  RouteConfig,
  RouterConfig,
  ServiceConfig,
} from '@galenatiller/types';

import { checkRoutes } from './checkRoutes.js';

/** Outcome of an update; only `adopted` changes the active configuration. */
export type ConfigurationUpdate = 'adopted' | 'same' | 'older';

/** The route of a call. */
export type RouteMatch =
  | { readonly kind: 'valid'; readonly route: RouteConfig }
  | { readonly kind: 'invalid'; readonly route: InvalidRoute };

/** The active configuration, indexed for routing. It never goes back to an older version. */
export class RouteTable {
  private configuration: RouterConfig | undefined;

  private isBehind = false;

  private routesByHost = new Map<string, RouteMatch[]>();

  private organisationsByKey = new Map<string, OrganisationConfig>();

  private servicesByName = new Map<string, ServiceConfig>();

  private constructor() {}

  /** Creates a table without a configuration. */
  static create(): RouteTable {
    return new RouteTable();
  }

  /** The active configuration, with checked routes; undefined before the first. */
  currentConfiguration(): RouterConfig | undefined {
    return this.configuration;
  }

  /** Whether the configuration that was read last is older than the active one. */
  get isStoreBehind(): boolean {
    return this.isBehind;
  }

  /** Activates a configuration if its version is newer than the active one. */
  update(configuration: RouterConfig): ConfigurationUpdate {
    const version = this.configuration?.version;
    this.isBehind = version !== undefined && configuration.version < version;
    if (version !== undefined && configuration.version <= version) {
      return configuration.version === version ? 'same' : 'older';
    }
    this.configuration = checkRoutes(configuration);
    this.routesByHost = groupByHost(this.configuration);
    this.organisationsByKey = new Map(
      (configuration.organisations ?? []).flatMap((organisation) =>
        organisation.bearerKeys.map((key) => [key, organisation] as const),
      ),
    );
    this.servicesByName = new Map(configuration.services.map((service) => [service.name, service]));
    return 'adopted';
  }

  /** Finds the route of a host with the longest path prefix that matches. */
  findRoute(opts: { readonly host: string; readonly path: string }): RouteMatch | undefined {
    const host = opts.host.replace(/:\d+$/, '').toLowerCase();
    // Routes of a host are sorted by the length of their path prefix, longest first.
    return this.routesByHost.get(host)?.find(({ route }) => opts.path.startsWith(route.pathPrefix));
  }

  /** Finds the organisation that a bearer key belongs to. */
  findOrganisation(bearerKey: string): OrganisationConfig | undefined {
    return this.organisationsByKey.get(bearerKey);
  }

  /** Finds a service by name. */
  findService(name: string): ServiceConfig | undefined {
    return this.servicesByName.get(name);
  }
}

function groupByHost({ routes, invalidRoutes }: RouterConfig): Map<string, RouteMatch[]> {
  const groups = new Map<string, RouteMatch[]>();
  const matches: readonly RouteMatch[] = [
    ...routes.map((route) => ({ kind: 'valid' as const, route })),
    ...invalidRoutes.map((route) => ({ kind: 'invalid' as const, route })),
  ];
  matches
    .toSorted((left, right) => right.route.pathPrefix.length - left.route.pathPrefix.length)
    .forEach((match) => {
      const host = match.route.host.toLowerCase();
      groups.set(host, [...(groups.get(host) ?? []), match]);
    });
  return groups;
}
