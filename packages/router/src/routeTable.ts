import type {
  RouterConfig,
  OrganisationConfig,
  RouteConfig,
  ServiceConfig,
} from '@galenatiller/types';

/** Outcome of offering a configuration. */
export type ConfigurationUpdate = 'adopted' | 'same' | 'older';

/** The configuration in force, indexed for the path of a call. It never goes back to an older version. */
export class RouteTable {
  private configuration: RouterConfig | undefined;

  private routesByHost = new Map<string, RouteConfig[]>();

  private organisationsByKey = new Map<string, OrganisationConfig>();

  private servicesByName = new Map<string, ServiceConfig>();

  private constructor() {}

  /** Makes a table without a configuration. */
  static create(): RouteTable {
    return new RouteTable();
  }

  /** The configuration in force; undefined before the first. */
  currentConfiguration(): RouterConfig | undefined {
    return this.configuration;
  }

  /** Puts a configuration in force unless it is older than the one in force. */
  update(configuration: RouterConfig): ConfigurationUpdate {
    const version = this.configuration?.version;
    if (version !== undefined && configuration.version <= version) {
      return configuration.version === version ? 'same' : 'older';
    }
    this.configuration = configuration;
    this.routesByHost = groupByHost(configuration.routes);
    this.organisationsByKey = new Map(
      (configuration.organisations ?? []).flatMap((organisation) =>
        organisation.bearerKeys.map((key) => [key, organisation] as const),
      ),
    );
    this.servicesByName = new Map(configuration.services.map((service) => [service.name, service]));
    return 'adopted';
  }

  /** The route of a host whose prefix is the longest that begins the path. */
  findRoute(opts: { readonly host: string; readonly path: string }): RouteConfig | undefined {
    const host = opts.host.replace(/:\d+$/, '').toLowerCase();
    // Routes of a host are sorted by the length of their prefixes, longest first.
    return this.routesByHost.get(host)?.find((route) => opts.path.startsWith(route.pathPrefix));
  }

  /** The organisation that holds a bearer key. */
  findOrganisation(bearerKey: string): OrganisationConfig | undefined {
    return this.organisationsByKey.get(bearerKey);
  }

  /** A service by name. */
  findService(name: string): ServiceConfig | undefined {
    return this.servicesByName.get(name);
  }
}

function groupByHost(routes: readonly RouteConfig[]): Map<string, RouteConfig[]> {
  const groups = new Map<string, RouteConfig[]>();
  [...routes]
    .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
    .forEach((route) => {
      const host = route.host.toLowerCase();
      groups.set(host, [...(groups.get(host) ?? []), route]);
    });
  return groups;
}
