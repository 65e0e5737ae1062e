/**
 * Keeps the TypeScript project references equal to the workspace dependencies in package.json.
 * Without arguments it reports differences and exits 1; with --write it corrects them.
 */
import { existsSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join, relative } from 'node:path';

const write = process.argv.includes('--write');
const packageFolders = readdirSync('packages').map((name) => join('packages', name));
const folders = [...packageFolders, 'platform', 'fakes', 'bench'].filter((folder) =>
  existsSync(join(folder, 'package.json')),
);
const manifests = folders.map((folder) => ({
  folder,
  manifest: JSON.parse(readFileSync(join(folder, 'package.json'), 'utf8')),
}));
const folderOf = new Map(manifests.map(({ folder, manifest }) => [manifest.name, folder]));

let differences = 0;

for (const { folder, manifest } of manifests) {
  const references = Object.keys(manifest.dependencies ?? {})
    .filter((name) => folderOf.has(name))
    .sort()
    .map((name) => ({ path: relative(folder, folderOf.get(name)) }));
  const base = relative(folder, 'tsconfig.base.json');
  settle(join(folder, 'tsconfig.json'), {
    extends: base,
    compilerOptions: { rootDir: 'src', outDir: 'dist', tsBuildInfoFile: 'dist/.tsbuildinfo' },
    include: ['src'],
    references,
  });
}
settle('tsconfig.json', { files: [], references: folders.map((path) => ({ path })) });
process.exitCode = differences > 0 && !write ? 1 : 0;

function settle(file, wanted) {
  const found = existsSync(file) ? JSON.parse(readFileSync(file, 'utf8')) : undefined;
  if (JSON.stringify(found) === JSON.stringify(wanted)) {
    return;
  }
  differences += 1;
  if (!write) {
    console.error(`${file} differs from package.json; run npm run references`);
    return;
  }
  writeFileSync(file, `${JSON.stringify(wanted, null, 2)}\n`);
}
