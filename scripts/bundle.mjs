/** Bundles the router and its dependencies into one file under target/, for a fast start. */
import { existsSync } from 'node:fs';
import { join } from 'node:path';

import { build } from 'esbuild';

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
  entryPoints: { router: 'platform/src/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  minifyWhitespace: true,
  minifySyntax: true,
  keepNames: true,
  sourcemap: 'linked',
  platform: 'node',
  format: 'esm',
  target: 'node20',
  banner: {
    js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);",
  },
  plugins: [workspace, leanClient, oneLocale, plainAssert],
  logLevel: 'warning',
});
