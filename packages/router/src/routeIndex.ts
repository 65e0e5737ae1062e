import type { InvalidRoute, RouteConfig, RouterConfig } from '@galenatiller/types';

/** The route of a call. */
export type RouteMatch =
  | { readonly kind: 'valid'; readonly route: RouteConfig }
  | { readonly kind: 'invalid'; readonly route: InvalidRoute };

/** The routes of one host. */
interface HostRoutes {
  readonly byPrefix: Map<string, RouteMatch>;
  /** How many path prefixes have a length. */
  readonly lengthCounts: Map<number, number>;
}

type IndexedRoutes = Pick<RouterConfig, 'routes' | 'invalidRoutes'>;

/**
 * Finds the route of a call in a time that depends on the lengths of path prefixes, not on their number. Routes
 * that stay the same objects from one version to the next cost little.
 */
export class RouteIndex {
  private indexed: IndexedRoutes = { routes: [], invalidRoutes: [] };

  private readonly hosts = new Map<string, HostRoutes>();

  /** The lengths that path prefixes of a host have, longest first. */
  private readonly sortedLengths = new Map<HostRoutes, readonly number[]>();

  /** Whether a host has a path prefix more than once, so that the order of the list counts. */
  private hasDuplicates = false;

  private constructor() {}

  /** Creates an index without routes. */
  static create(): RouteIndex {
    return new RouteIndex();
  }

  /** Replaces the routes; of equal ones the first counts, and a valid one before an invalid one. */
  update(next: IndexedRoutes): void {
    const before = this.indexed;
    this.indexed = next;
    this.sortedLengths.clear();
    const hasInvalid = before.invalidRoutes.length + next.invalidRoutes.length > 0;
    if (hasInvalid || this.hasDuplicates) {
      this.rebuild();
      return;
    }
    const [old, kept] = [new Set(before.routes), new Set(next.routes)];
    before.routes.filter((route) => !kept.has(route)).forEach((route) => this.remove(route));
    next.routes
      .filter((route) => !old.has(route))
      .forEach((route) => this.add({ kind: 'valid', route }));
    if (this.hasDuplicates) {
      this.rebuild();
    }
  }

  /** Finds the route of a host, in lower case, with the longest path prefix that matches. */
  find(opts: { readonly host: string; readonly path: string }): RouteMatch | undefined {
    const { path } = opts;
    const host = this.hosts.get(opts.host);
    if (!host) {
      return undefined;
    }
    for (const length of this.sortLengths(host)) {
      const match = length <= path.length && host.byPrefix.get(path.slice(0, length));
      if (match) {
        return match;
      }
    }
    return undefined;
  }

  private sortLengths(host: HostRoutes): readonly number[] {
    const known = this.sortedLengths.get(host);
    if (known) {
      return known;
    }
    const sorted = [...host.lengthCounts.keys()].sort((left, right) => right - left);
    this.sortedLengths.set(host, sorted);
    return sorted;
  }

  private rebuild(): void {
    this.hosts.clear();
    this.hasDuplicates = false;
    this.indexed.routes.forEach((route) => this.add({ kind: 'valid', route }));
    this.indexed.invalidRoutes.forEach((route) => this.add({ kind: 'invalid', route }));
  }

  private add(match: RouteMatch): void {
    const { host: name, pathPrefix } = match.route;
    const { byPrefix, lengthCounts } = this.findHost(name);
    if (byPrefix.has(pathPrefix)) {
      this.hasDuplicates = true;
      return;
    }
    byPrefix.set(pathPrefix, match);
    lengthCounts.set(pathPrefix.length, (lengthCounts.get(pathPrefix.length) ?? 0) + 1);
  }

  private remove({ host: name, pathPrefix }: RouteConfig): void {
    const { byPrefix, lengthCounts } = this.findHost(name);
    byPrefix.delete(pathPrefix);
    const count = (lengthCounts.get(pathPrefix.length) ?? 0) - 1;
    if (count > 0) {
      lengthCounts.set(pathPrefix.length, count);
    } else {
      lengthCounts.delete(pathPrefix.length);
    }
  }

  private findHost(name: string): HostRoutes {
    const key = name.toLowerCase();
    const known = this.hosts.get(key);
    if (known) {
      return known;
    }
    const host: HostRoutes = { byPrefix: new Map(), lengthCounts: new Map() };
    this.hosts.set(key, host);
    return host;
  }
}
