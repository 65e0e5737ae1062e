/**
 * Bundles the router and its dependencies under target/ for a fast start: `router.cjs` with the code,
 * `router.cache` with its compiled functions, and `router.mjs`, which is run and loads both.
 */
import { execFileSync } from 'node:child_process';
import { copyFileSync, existsSync } from 'node:fs';
import { join } from 'node:path';

import { build } from 'esbuild';

/** Options of Node.js with which routers are run, see deploy/system.toml. */
const NODE_OPTIONS = ['--max-semi-space-size=4'];

const PACKAGE_PATTERN = /^@galenatiller\/(.+)$/;

/** Resolves the packages of the workspace to their TypeScript sources. */
const workspace = {
  name: 'workspace',
  setup(builder) {
    builder.onResolve({ filter: PACKAGE_PATTERN }, ({ path }) => {
      const name = PACKAGE_PATTERN.exec(path)[1];
      const file = join(process.cwd(), 'packages', name, 'src', 'index.ts');
      return existsSync(file) ? { path: file, sideEffects: false } : undefined;
    });
  },
};

/**
 * Replaces undici by its HTTP client alone: the entry point of the package also loads fetch, caches
 * and web sockets at start.
 */
const leanClient = {
  name: 'lean-client',
  setup(builder) {
    builder.onResolve({ filter: /^undici$/ }, ({ resolveDir, kind, pluginData }) =>
      pluginData === 'door'
        ? undefined
        : { path: resolveDir, namespace: 'lean-client', pluginData: kind },
    );
    builder.onLoad({ filter: /.*/, namespace: 'lean-client' }, () => ({
      contents: [
        "import Client from 'undici/lib/dispatcher/client.js';",
        "import Pool from 'undici/lib/dispatcher/pool.js';",
        "import buildConnector from 'undici/lib/core/connect.js';",
        "import * as api from 'undici/lib/api/index.js';",
        'Object.assign(Client.prototype, api);',
        'const { request } = api;',
        'export { buildConnector, Client, Pool, request };',
      ].join('\n'),
      resolveDir: process.cwd(),
    }));
  },
};

/** Leaves out HTTP/2, whose module of Node.js takes 4 ms to load; the client is told to use HTTP/1.1. */
const oneProtocol = {
  name: 'one-protocol',
  setup(builder) {
    builder.onLoad({ filter: /undici\/lib\/dispatcher\/client-h2\.js$/ }, () => ({
      contents: "module.exports = () => { throw new Error('HTTP/2 is not bundled'); };",
    }));
  },
};

/** Replaces prom-client by its metrics alone: the rest loads HTTP clients and clusters at start. */
const leanMetrics = {
  name: 'lean-metrics',
  setup(builder) {
    const names = {
      Counter: 'counter',
      Gauge: 'gauge',
      Histogram: 'histogram',
      Registry: 'registry',
    };
    builder.onResolve({ filter: /^prom-client$/ }, () => ({
      path: 'prom-client',
      namespace: 'lean-metrics',
    }));
    builder.onLoad({ filter: /.*/, namespace: 'lean-metrics' }, () => ({
      contents: Object.entries(names)
        .map(([name, file]) => `export { default as ${name} } from 'prom-client/lib/${file}.js';`)
        .join('\n'),
      resolveDir: process.cwd(),
    }));
  },
};

/** Keeps only the English locale of the schema library: settings have their own messages. */
const oneLocale = {
  name: 'one-locale',
  setup(builder) {
    builder.onResolve({ filter: /locales\/index\.js$/ }, ({ resolveDir }) => ({
      path: join(resolveDir, '..', 'locales', 'en.js'),
    }));
  },
};

/** Replaces the assertions of Node.js, which parse the bundle when one fails. */
const plainAssert = {
  name: 'plain-assert',
  setup(builder) {
    builder.onResolve({ filter: /^(node:)?assert$/ }, () => ({
      path: join(process.cwd(), 'scripts', 'plainAssert.cjs'),
    }));
  },
};

await build({
  entryPoints: { router: 'platform/src/runProcess.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  minifyWhitespace: true,
  minifySyntax: true,
  sourcemap: 'linked',
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  plugins: [workspace, leanClient, oneProtocol, leanMetrics, oneLocale, plainAssert],
  logLevel: 'warning',
});

copyFileSync(join('scripts', 'loadRouter.mjs'), join('target', 'router.mjs'));
// V8 only accepts compiled functions from the same version with the same options.
execFileSync(process.execPath, [...NODE_OPTIONS, join('target', 'router.mjs'), '--write-cache'], {
  stdio: 'inherit',
});
