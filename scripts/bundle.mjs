/** Bundles the router with its libraries into one file under target/, so that it starts fast. */
import { existsSync } from 'node:fs';
import { join } from 'node:path';

import { build } from 'esbuild';

const PACKAGE = /^@galenatiller\/(.+)$/;

/** Packages of the workspace are bundled from their sources. */
const workspace = {
  name: 'workspace',
  setup(bundle) {
    bundle.onResolve({ filter: PACKAGE }, ({ path }) => {
      const name = PACKAGE.exec(path)[1];
      const file = join(process.cwd(), 'packages', name, 'src', 'index.ts');
      return existsSync(file) ? { path: file, sideEffects: false } : undefined;
    });
  },
};

/** The HTTP client alone: undici's door loads fetch, caches and web sockets at start. */
const leanClient = {
  name: 'lean-client',
  setup(bundle) {
    bundle.onResolve({ filter: /^undici$/ }, ({ resolveDir, kind, pluginData }) =>
      pluginData === 'door'
        ? undefined
        : { path: resolveDir, namespace: 'lean-client', pluginData: kind },
    );
    bundle.onLoad({ filter: /.*/, namespace: 'lean-client' }, () => ({
      contents: [
        "import Client from 'undici/lib/dispatcher/client.js';",
        "import Pool from 'undici/lib/dispatcher/pool.js';",
        "import * as api from 'undici/lib/api/index.js';",
        'Object.assign(Client.prototype, api);',
        'const { request } = api;',
        'export { Client, Pool, request };',
      ].join('\n'),
      resolveDir: process.cwd(),
    }));
  },
};

/** Messages of settings are our own, so the translations of the schema library are left out. */
const oneLocale = {
  name: 'one-locale',
  setup(bundle) {
    bundle.onResolve({ filter: /locales\/index\.js$/ }, ({ resolveDir }) => ({
      path: join(resolveDir, '..', 'locales', 'en.js'),
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
  plugins: [workspace, leanClient, oneLocale],
  logLevel: 'warning',
});
