/**
 * Runs the bundled router. With `--write-cache`, it only loads the bundle and stores its compiled functions,
 * which saves most of the time to compile them at each start. Without usable ones, they are compiled as usual;
 * `--check-cache` prints which it is.
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { fileURLToPath } from 'node:url';
import { Script } from 'node:vm';

const filename = fileURLToPath(new URL('router.cjs', import.meta.url));
const cacheFile = fileURLToPath(new URL('router.cache', import.meta.url));
const [, , mode = ''] = process.argv;

// The bundle has ASCII characters only; V8 reads such a text from one byte each.
const source = `(function (exports, require, module) {\n${readFileSync(filename, 'latin1')}\n})`;
const cachedData =
  mode !== '--write-cache' && existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
const script = new Script(source, { filename, cachedData, lineOffset: -1 });
const bundle = { exports: {} };
script.runInThisContext()(bundle.exports, createRequire(import.meta.url), bundle);
if (mode === '--write-cache') {
  writeFileSync(cacheFile, script.createCachedData());
} else if (mode === '--check-cache') {
  process.stdout.write(script.cachedDataRejected === false ? 'accepted\n' : 'rejected\n');
} else {
  await bundle.exports.runProcess();
}
