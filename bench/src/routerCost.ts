/** `node bench/dist/routerCost.js`: CPU time of router processes for each start, second and call. */
import { systemClock, TimerService } from '@galenatiller/timer';
import { Command } from 'commander';

import { measureSite, type SiteCosts } from './routerCost/measureSite.js';
import { renderCosts, renderParts } from './routerCost/renderSiteCosts.js';

interface RouterCostOptions {
  readonly program: readonly string[];
  readonly rounds: string;
  readonly routers: string;
  readonly rate: string;
  readonly seconds: string;
  readonly profile?: true;
  readonly functions?: true;
}

const MS_PER_S = 1_000;

const options = new Command('routerCost')
  .description('Measures the CPU time of router processes; programs are run in turn.')
  .option('--program <texts...>', 'arguments of Node.js to compare, each quoted', [
    '--max-semi-space-size=4 target/router.mjs',
  ])
  .option('--rounds <n>', 'runs of each program', '1')
  .option('--routers <n>', 'routers of the site', '2')
  .option('--rate <n>', 'calls a second to each router', '40')
  .option('--seconds <s>', 'duration of each phase', '5')
  .option('--profile', 'break the CPU time down by part; the profiler costs time itself')
  .option('--functions', 'break the profile down by function instead')
  .parse()
  .opts<RouterCostOptions>();

const timer = TimerService.create({ clock: systemClock });
const runs = new Map<string, SiteCosts[]>(options.program.map((program) => [program, []]));
for (let round = 0; round < Number(options.rounds); round += 1) {
  for (const [program, results] of runs) {
    const result = await measureSite({
      timer,
      nodeArguments: program.split(' '),
      routers: Number(options.routers),
      perSecond: Number(options.rate),
      durationMs: Number(options.seconds) * MS_PER_S,
      isProfiled: options.profile === true || options.functions === true,
      byFunction: options.functions === true,
    });
    results.push(result);
    if (result.parts.size > 0) {
      printLine(`${program}\n${renderParts(result)}`);
    }
  }
}
printLine(renderCosts(runs));

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}
