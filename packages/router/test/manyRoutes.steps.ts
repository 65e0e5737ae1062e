import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { RouteConfig, RouterConfig } from '@galenatiller/types';
import fc from 'fast-check';

import type { RouteMatch } from '../src/routeIndex.js';
import { RouteTable } from '../src/routeTable.js';
import { BASE_ROUTE, CALL, CONFIGURATION } from './support.js';
import { createTestAdmission } from './testAdmission.js';

interface ManyRoutesWorld {
  manyRoutes: RouteTable;
  /** Host that has the route with the longest prefix. */
  host: string;
  /** Reads of fields of routes since the configuration was applied. */
  fieldReads: number;
  found: RouteMatch | undefined;
}

const STAGES = [{ service: 'stage', dependsOn: [], resultBytes: 1 }];
const LONGEST_PREFIX = '/route-7/deep/';

Given(
  'a configuration of {int} routes on {int} hosts',
  function given(this: ManyRoutesWorld, routeCount: number, hostCount: number) {
    const routes = Array.from({ length: routeCount }, (_, index) => ({
      ...BASE_ROUTE,
      host: `host-${index % hostCount}.example`,
      pathPrefix: `/route-${index}/`,
    }));
    this.host = `host-${7 % hostCount}.example`;
    const longest = { ...BASE_ROUTE, host: this.host };
    const staged = { ...BASE_ROUTE, host: 'staged.example', stages: STAGES };
    this.manyRoutes = RouteTable.create();
    this.manyRoutes.update({
      ...CONFIGURATION,
      routes: [...routes, { ...longest, pathPrefix: LONGEST_PREFIX }, staged].map((route) =>
        countFieldReads(this, route),
      ),
    });
    this.fieldReads = 0;
  },
);

When(
  /^the route of a path under (one|none) of them is looked up$/,
  function when(this: ManyRoutesWorld, which: string) {
    const { host } = this;
    this.fieldReads = 0;
    const path = which === 'one' ? `${LONGEST_PREFIX}call` : '/other/call';
    this.found = this.manyRoutes.findRoute({ host, path });
  },
);

When('a call with stages asks to be admitted', function when(this: ManyRoutesWorld) {
  const clock = ManualClock.create({ startWallMs: 1_000_000 });
  const { admission } = createTestAdmission({
    routerTimer: TimerService.create({ clock }),
    routes: this.manyRoutes,
  });
  const route = { ...BASE_ROUTE, stages: STAGES };
  const admitted = {
    route,
    service: 'service',
    priority: 1,
    deadlineAtMs: 60_000,
    firstByteDeadlineAtMs: 60_000,
  };
  admission.findRefusal({ admitted, call: CALL });
});

Then(
  /^(no route|the route with the longest prefix) is found$/,
  function then(this: ManyRoutesWorld, expected: string) {
    const prefix = expected === 'no route' ? undefined : LONGEST_PREFIX;
    assert.equal(this.found?.route.pathPrefix, prefix);
  },
);

Then('under {int} routes were looked at', function then(this: ManyRoutesWorld, maxReads: number) {
  assert.equal(this.fieldReads < maxReads, true, `${this.fieldReads} fields were read`);
});

Then(
  'for {int} random configurations each lookup finds what a search of the list finds',
  (numRuns: number) => {
    const part = fc.constantFrom('a', 'ab', 'b', 'abc');
    const prefix = fc.array(part, { maxLength: 3 }).map((parts) => `/${parts.join('/')}`);
    const host = fc.constantFrom('one.example', 'Two.example');
    const route = fc.record({
      host,
      pathPrefix: prefix,
      isInvalid: fc.constantFrom(false, false, false, true),
    });
    const property = fc.property(
      fc.array(fc.array(route, { maxLength: 30 }), { minLength: 1, maxLength: 4 }),
      fc.array(fc.record({ host, path: prefix }), { maxLength: 20 }),
      (versions, lookups) => {
        const table = RouteTable.create();
        const known = new Map<string, RouteConfig>();
        versions.forEach((routes, index) => {
          const configuration = createRandomConfiguration({ routes, version: index + 1, known });
          table.update(configuration);
          lookups.forEach((lookup) =>
            assert.equal(
              table.findRoute(lookup)?.route.name,
              searchList(configuration, lookup)?.name,
            ),
          );
        });
      },
    );
    fc.assert(property, { numRuns });
  },
);

function countFieldReads(world: ManyRoutesWorld, route: RouteConfig): RouteConfig {
  return new Proxy(route, {
    get: (target, field, receiver): unknown => {
      world.fieldReads += 1;
      return Reflect.get(target, field, receiver);
    },
  });
}

interface RandomRoute {
  readonly host: string;
  readonly pathPrefix: string;
  readonly isInvalid: boolean;
}

/** Creates a version in which routes with equal fields at equal places are the objects of earlier versions. */
function createRandomConfiguration(opts: {
  readonly routes: readonly RandomRoute[];
  readonly version: number;
  readonly known: Map<string, RouteConfig>;
}): RouterConfig {
  const { version, known } = opts;
  const named = opts.routes.map((route, index) => ({ ...route, name: `route-${index}` }));
  return {
    ...CONFIGURATION,
    version,
    routes: named
      .filter(({ isInvalid }) => !isInvalid)
      .map(({ name, host, pathPrefix }) => {
        const key = `${name} ${host} ${pathPrefix}`;
        const route = known.get(key) ?? { ...BASE_ROUTE, name, host, pathPrefix };
        known.set(key, route);
        return route;
      }),
    invalidRoutes: named
      .filter(({ isInvalid }) => isInvalid)
      .map((route) => ({ ...route, isPublic: false, problems: ['invalid'] })),
  };
}

/** The first of the longest prefixes in the list; valid routes stand before invalid ones. */
function searchList(
  { routes, invalidRoutes }: RouterConfig,
  lookup: { readonly host: string; readonly path: string },
): { readonly name: string } | undefined {
  return [...routes, ...invalidRoutes]
    .filter(({ host }) => host.toLowerCase() === lookup.host.toLowerCase())
    .filter(({ pathPrefix }) => lookup.path.startsWith(pathPrefix))
    .toSorted((left, right) => right.pathPrefix.length - left.pathPrefix.length)[0];
}
