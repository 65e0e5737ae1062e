/**
 * Checks that every name in docs/EXTERNAL-NAMES.txt is still in the sources: fields and values of messages,
 * stored data, settings, command lines, metrics and logs. `--write` lists them anew from the sources.
 */
import { execFileSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';

import ts from 'typescript';

const PAGE = 'docs/EXTERNAL-NAMES.txt';
const NAME = /^[A-Za-z0-9_.:/=+-]+$/;
const HAS_LETTER = /[A-Za-z]/;

/** Files whose string literals and field names are all seen outside. */
const MESSAGES = [
  'packages/*/src/wire*.ts',
  'packages/node/src/frames.ts',
  'packages/node/src/handshake.ts',
  'packages/routerLink/src/routerFrames.ts',
  'packages/types/src/{configuration,host,json,outcome,stage,target,timelineEvent}.ts',
  'packages/configuration/src/{configurationKeys,headTypes}.ts',
  'packages/store/src/{runRecordTypes,storeTypes}.ts',
  'packages/operator/src/{nodeReport,ruleLineParser,ruleKey,ruleTokens,readRule,formatRule}.ts',
  'packages/cli/src/{createProgram,commandReport,cliCommand,completionScript}.ts',
  'packages/daemon/src/{parseCommandLine,exitCodes}.ts',
  'packages/error/src/{createProblemDetails,galenatillerError}.ts',
  'packages/http/src/{createAttemptHeaders,sendRequest,fetchText}.ts',
  'packages/caller/src/{serveCallers,serveCall}.ts',
  'packages/weightStore/src/weightManifest.ts',
  'packages/settings/src/{settingKeys,routerKeys}.ts',
  'packages/metrics/src/{metricTable,routerMetrics}.ts',
  'packages/constants/src/index.ts',
  'platform/src/{headers,storeCalls,targetCalls,serveCallers,main}.ts',
  'fakes/src/platform/*.ts',
  'fakes/src/store/etcdMessages.ts',
  'fakes/src/main.ts',
  'fakes/src/{faultBoard,runLedger,coldPhase}.ts',
  'fakes/src/{createFakeHostList,createFakeWeightStore,createFakeEngine,createFakePool}.ts',
  'fakes/src/{createFakeService,createFakeTarget,fakeServer}.ts',
  'fakes/src/engine/{completionRequest,engineSettings,orderDesk,cacheEventFeed,streamCompletion}.ts',
  'bench/src/{main,quickstart}.ts',
  'bench/src/report/benchReport.ts',
  'bench/src/launcher/{fakePlan,renderSettings}.ts',
];

/** Files whose string literals are seen outside, but not their field names. */
const VALUES = [
  'packages/error/src/{requestCodes,systemCodes}.ts',
  'packages/router/src/{callCounter,countEvents,callProgress,ports,runAttempts,chooseTargetForCall,routeTable}.ts',
  'packages/target/src/chooseTarget.ts',
  'packages/store/src/{prefixMirror,membership}.ts',
  'packages/routerLink/src/followRouter.ts',
  'bench/src/scenario/scenarios.ts',
  'scripts/*.mjs',
];

/** Members of these types reach a line of the event log or a label of a metric. */
const LOGGED_TYPES =
  /(Event|Belief|Failure|Ending|SendEnd|Send|CallOutcome|CallKind|StagePiece|PieceResult|Member)$/;
const LOGGED_FILES = 'packages/{router,routerLink,pool,store,target,types,logger}/src/*.ts';

/** Plain text whose words are names: keys of templates and of the deploy file. */
const PLAIN = ['deploy/settings.ini.template', 'deploy/system.toml'];

const names = new Set();

function add(text) {
  if (NAME.test(text) && HAS_LETTER.test(text)) {
    names.add(text);
  }
}

/** Files of the repository that match a pattern; a list in braces stands for each of its parts. */
function filesOf(pattern) {
  const list = /\{([^}]+)\}/.exec(pattern);
  const patterns = list
    ? list[1].split(',').map((part) => pattern.replace(list[0], part))
    : [pattern];
  const globs = patterns.map((glob) => `:(glob)${glob}`);
  const found = execFileSync('git', ['ls-files', '--', ...globs], { encoding: 'utf8' });
  return found.split('\n').filter((file) => file !== '');
}

function parse(file) {
  return ts.createSourceFile(file, readFileSync(file, 'utf8'), ts.ScriptTarget.Latest, true);
}

function isModuleName(node) {
  return ts.isImportDeclaration(node.parent) || ts.isExportDeclaration(node.parent);
}

function addValues(node) {
  if (ts.isStringLiteralLike(node) && !isModuleName(node)) {
    add(node.text);
  }
  if (ts.isTemplateExpression(node)) {
    add(node.head.text);
    node.templateSpans.forEach(({ literal }) => add(literal.text));
  }
}

function addFields(node) {
  const isField =
    ts.isPropertySignature(node) ||
    ts.isPropertyAssignment(node) ||
    ts.isShorthandPropertyAssignment(node);
  if (isField && (ts.isIdentifier(node.name) || ts.isStringLiteral(node.name))) {
    add(node.name.text);
  }
}

function walk(node, visit) {
  visit(node);
  ts.forEachChild(node, (child) => walk(child, visit));
}

function addBoth(node) {
  addValues(node);
  addFields(node);
}

/** Fields of decoded JSON are read by their outer names. */
function addReadFields(node) {
  if (ts.isPropertyAccessExpression(node) && !ts.isCallExpression(node.parent)) {
    add(node.name.text);
  }
  if (ts.isBindingElement(node) && node.propertyName && ts.isIdentifier(node.propertyName)) {
    add(node.propertyName.text);
  }
}

function isLogLine(node) {
  return (
    ts.isObjectLiteralExpression(node) &&
    node.properties.some((field) => ['about', 'event'].includes(field.name?.getText()))
  );
}

function addLogged(node) {
  const isType =
    (ts.isInterfaceDeclaration(node) || ts.isTypeAliasDeclaration(node)) &&
    LOGGED_TYPES.test(node.name.text);
  if (isType || isLogLine(node)) {
    walk(node, addBoth);
  }
}

function addEnvironment(node) {
  if (
    ts.isPropertyAccessExpression(node) &&
    node.expression.getText().endsWith('process.env') &&
    ts.isIdentifier(node.name)
  ) {
    add(node.name.text);
  }
}

MESSAGES.flatMap(filesOf).forEach((file) => walk(parse(file), addBoth));
VALUES.flatMap(filesOf).forEach((file) => walk(parse(file), addValues));
filesOf(LOGGED_FILES).forEach((file) => walk(parse(file), addLogged));
['packages/*/src/*.ts', 'platform/src/*.ts'].flatMap(filesOf).forEach((file) => {
  walk(parse(file), (node) => {
    addEnvironment(node);
    if (isLogLine(node)) {
      walk(node, addBoth);
    }
  });
});
filesOf('platform/src/wire*.ts').forEach((file) => walk(parse(file), addReadFields));
PLAIN.forEach((file) =>
  readFileSync(file, 'utf8')
    .split(/[\s[\]{}",]+/)
    .forEach(add),
);

if (process.argv.includes('--write')) {
  writeFileSync(PAGE, `${[...names].sort().join('\n')}\n`);
} else {
  const lost = findLost();
  lost.forEach((name) => console.error(`${PAGE}: no source has the name ${name}`));
  process.exitCode = lost.length > 0 ? 1 : 0;
}

/** Names of the page that no source and no template has any more. */
function findLost() {
  const sources = ['packages', 'platform', 'fakes', 'bench', 'scripts', 'deploy'].flatMap(
    (folder) => filesOf(`${folder}/**`).filter((file) => !file.includes('/test/')),
  );
  const text = sources.map((file) => readFileSync(file, 'utf8')).join('\n');
  const words = new Set(text.match(/[A-Za-z_$][\w$]*/g));
  return readFileSync(PAGE, 'utf8')
    .split('\n')
    .filter((name) => name !== '' && !words.has(name) && !text.includes(name));
}
