import type { OrganisationConfig, RouterConfig, ServiceConfig } from '@galenatiller/types';

import { checkRoutes } from './checkRoutes.js';
import { RouteIndex, type RouteMatch } from './routeIndex.js';

/** Outcome of an update; only `adopted` changes the active configuration. */
export type ConfigurationUpdate = 'adopted' | 'same' | 'older';

/** The active configuration, indexed for routing. It never goes back to an older version. */
export class RouteTable {
  private configuration: RouterConfig | undefined;

  private isBehind = false;

  private readonly index = RouteIndex.create();

  private priorities: readonly number[] = [];

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

  /** The priorities of routes with stages, each once. */
  get stagedPriorities(): readonly number[] {
    return this.priorities;
  }

  /** Activates a configuration if its version is newer than the active one. */
  update(configuration: RouterConfig): ConfigurationUpdate {
    const version = this.configuration?.version;
    this.isBehind = version !== undefined && configuration.version < version;
    if (version !== undefined && configuration.version <= version) {
      return configuration.version === version ? 'same' : 'older';
    }
    this.configuration = checkRoutes(configuration);
    this.index.update(this.configuration);
    const staged = this.configuration.routes.filter(({ stages }) => stages.length > 0);
    this.priorities = [...new Set(staged.map(({ priority }) => priority))];
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
    return this.index.find({ host, path: opts.path });
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
