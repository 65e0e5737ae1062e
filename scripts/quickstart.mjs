/** Installs missing dependencies, builds, and runs the quickstart: `npm run quickstart [-- --keep]`. */
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

if (!existsSync('node_modules/.package-lock.json')) {
  run('npm', ['ci', '--no-audit', '--no-fund']);
}
run('npx', ['tsc', '-b']);
run(process.execPath, ['bench/dist/quickstart.js', ...process.argv.slice(2)]);

function run(command, args) {
  const { status } = spawnSync(command, args, { stdio: 'inherit' });
  if (status !== 0) {
    process.exit(status ?? 1);
  }
}
