/**
 * Keeps the TypeScript project references equal to the workspace dependencies in package.json.
 * Without arguments it reports differences and exits 1; with --write it corrects them.
 */
import { existsSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join, relative } from 'node:path';

const isWriting = process.argv.includes('--write');
const packageFolders = readdirSync('packages').map((name) => join('packages', name));
const folders = [...packageFolders, 'platform', 'fakes', 'bench'].filter((folder) =>
  existsSync(join(folder, 'package.json')),
);
const manifests = folders.map((folder) => ({
  folder,
  manifest: JSON.parse(readFileSync(join(folder, 'package.json'), 'utf8')),
}));
const folderByName = new Map(manifests.map(({ folder, manifest }) => [manifest.name, folder]));

let differenceCount = 0;

for (const { folder, manifest } of manifests) {
  const references = Object.keys(manifest.dependencies ?? {})
    .filter((name) => folderByName.has(name))
    .sort()
    .map((name) => ({ path: relative(folder, folderByName.get(name)) }));
  const base = relative(folder, 'tsconfig.base.json');
  checkOrWrite(join(folder, 'tsconfig.json'), {
    extends: base,
    compilerOptions: { rootDir: 'src', outDir: 'dist', tsBuildInfoFile: 'dist/.tsbuildinfo' },
    include: ['src'],
    references,
  });
}
checkOrWrite('tsconfig.json', { files: [], references: folders.map((path) => ({ path })) });
process.exitCode = differenceCount > 0 && !isWriting ? 1 : 0;

function checkOrWrite(file, expected) {
  const actual = existsSync(file) ? JSON.parse(readFileSync(file, 'utf8')) : undefined;
  if (JSON.stringify(actual) === JSON.stringify(expected)) {
    return;
  }
  differenceCount += 1;
  if (!isWriting) {
    console.error(`${file} differs from package.json; run npm run references`);
    return;
  }
  writeFileSync(file, `${JSON.stringify(expected, null, 2)}\n`);
}
