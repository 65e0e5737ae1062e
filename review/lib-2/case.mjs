// Runs a case: writes its record, and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
import { writeFileSync } from 'node:fs';
import { endAll } from './routers.mjs';

export const isTroubled = process.env.TROUBLE !== '0';

export function runCase(folderUrl, body) {
  const lines = [];
  const startedAtMs = Date.now();
  const note = (text) => lines.push(`${((Date.now() - startedAtMs) / 1000).toFixed(3)} s  ${text}`);
  const finish = (code, text) => {
    note(text);
    writeFileSync(new URL('record.txt', folderUrl), `${lines.join('\n')}\n`);
    endAll({ keepFolder: process.env.KEEP === '1' });
    console.log(text);
    process.exit(code);
  };
  setTimeout(() => finish(2, 'could not run: the case took longer than 110 s'), 110_000);
  process.on('uncaughtException', (error) => finish(2, `could not run: ${error.stack}`));
  process.on('SIGTERM', () => finish(2, 'could not run: it was stopped'));
  body({ note, startedAtMs }).then(
    ({ broken, text }) => finish(broken ? 1 : 0, `${broken ? 'BROKEN' : 'held'}: ${text}`),
    (error) => finish(2, `could not run: ${error.stack}`),
  );
}

/** A loopback address of this run alone, so that cases can run beside each other. */
export const loopback = (group, index) => {
  const network = Math.floor(process.pid / 224) % 25;
  return `127.${16 + (process.pid % 224)}.${network * 10 + group}.${index}`;
};
