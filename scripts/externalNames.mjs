/**
 * Checks that every name in docs/EXTERNAL-NAMES.txt still occurs in the sources. The names are
 * fields and values of messages, stored data, settings, command lines, metrics and logs.
 * `--write` regenerates the list from the sources.
 */
import { execFileSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';

import ts from 'typescript';

const PAGE = 'docs/EXTERNAL-NAMES.txt';
const NAME_PATTERN = /^[A-Za-z0-9_.:/=+-]+$/;
const HAS_LETTER = /[A-Za-z]/;

/** Files whose string literals and field names are all visible outside the process. */
const MESSAGE_FILES = [
  'packages/*/src/wire*.ts',
  'packages/node/src/frames.ts',
  'packages/node/src/handshake.ts',
  'packages/routerLink/src/routerFrames.ts',
  'packages/types/src/{configuration,host,json,outcome,stage,target,timelineEvent,usage}.ts',
  'packages/configuration/src/{configurationKeys,headTypes}.ts',
  'packages/store/src/{runRecordTypes,storeTypes}.ts',
  'packages/operator/src/{nodeReport,ruleFinding,ruleLineParser,getRuleKey,ruleTokens,readRule,formatRule}.ts',
  'packages/cli/src/{createProgram,commandReport,cliCommand,renderCompletionScript}.ts',
  'packages/daemon/src/{parseCommandLine,exitCodes}.ts',
  'packages/error/src/{createProblemDetails,galenatillerError}.ts',
  'packages/http/src/{createAttemptHeaders,sendRequest,fetchText}.ts',
  'packages/caller/src/{serveCallers,serveCall}.ts',
  'packages/weightStore/src/weightManifest.ts',
  'packages/settings/src/{settingKeys,routerKeys}.ts',
  'packages/metrics/src/{metricTable,routerMetrics,stageMetrics}.ts',
  'packages/constants/src/index.ts',
  'platform/src/{headers,platformStoreClient,providerClient,targetClient,serveCallers,main,runProcess}.ts',
  'fakes/src/platform/*.ts',
  'fakes/src/store/etcdMessages.ts',
  'fakes/src/main.ts',
  'fakes/src/{faultInjector,runLedger,coldPhase}.ts',
  'fakes/src/{createFakeHostList,createFakeWeightStore,createFakeEngine,createFakePool}.ts',
  'fakes/src/{createFakeService,createFakeTarget,fakeServer}.ts',
  'fakes/src/engine/{completionRequest,engineSettings,orderHandler,cacheEventFeed,streamCompletion}.ts',
  'bench/src/{main,quickstart}.ts',
  'bench/src/report/benchReport.ts',
  'bench/src/launcher/{fakePlan,renderSettings}.ts',
];

/** Files whose string literals are visible outside the process, but not their field names. */
const VALUE_FILES = [
  'packages/error/src/{requestCodes,systemCodes}.ts',
  'packages/router/src/{callCounter,recordMetrics,callProgress,ports,runAttempts,chooseTargetForCall,routeTable}.ts',
  'packages/target/src/chooseTarget.ts',
  'packages/store/src/{prefixMirror,member,membership}.ts',
  'packages/routerLink/src/followRouter.ts',
  'bench/src/scenario/scenarios.ts',
  'scripts/*.mjs',
];

/** Types whose members appear in the event log or as labels of metrics. */
const LOGGED_TYPES =
  /(Event|TargetChange|Failure|Ending|Send|CallKind|StagePiece|PieceResult|Member)$/;
const LOGGED_FILES =
  'packages/{provider,router,routerLink,pool,store,target,types,logger}/src/*.ts';

/** Plain text files in which every word counts as a name: settings template and deploy file. */
const PLAIN_TEXT_FILES = ['deploy/settings.ini.template', 'deploy/system.toml'];

const names = new Set();

function addName(text) {
  if (NAME_PATTERN.test(text) && HAS_LETTER.test(text)) {
    names.add(text);
  }
}

/** Lists the tracked files that match a glob; a list in braces is expanded. */
function listFiles(pattern) {
  const braces = /\{([^}]+)\}/.exec(pattern);
  const patterns = braces
    ? braces[1].split(',').map((part) => pattern.replace(braces[0], part))
    : [pattern];
  const globs = patterns.map((glob) => `:(glob)${glob}`);
  const output = execFileSync('git', ['ls-files', '--', ...globs], { encoding: 'utf8' });
  const files = output.split('\n').filter((file) => file !== '');
  if (files.length < patterns.length) {
    throw new Error(`${pattern} names a file that does not exist`);
  }
  return files;
}

function parse(file) {
  return ts.createSourceFile(file, readFileSync(file, 'utf8'), ts.ScriptTarget.Latest, true);
}

function isModuleName(node) {
  return ts.isImportDeclaration(node.parent) || ts.isExportDeclaration(node.parent);
}

function addValues(node) {
  if (ts.isStringLiteralLike(node) && !isModuleName(node)) {
    addName(node.text);
  }
  if (ts.isTemplateExpression(node)) {
    addName(node.head.text);
    node.templateSpans.forEach(({ literal }) => addName(literal.text));
  }
}

function addFields(node) {
  const isField =
    ts.isPropertySignature(node) ||
    ts.isPropertyAssignment(node) ||
    ts.isShorthandPropertyAssignment(node);
  if (isField && (ts.isIdentifier(node.name) || ts.isStringLiteral(node.name))) {
    addName(node.name.text);
  }
}

function visitNodes(node, visit) {
  visit(node);
  ts.forEachChild(node, (child) => visitNodes(child, visit));
}

function addValuesAndFields(node) {
  addValues(node);
  addFields(node);
}

/** Adds the properties that are read; decoded JSON has the names of the wire format. */
function addReadFields(node) {
  if (ts.isPropertyAccessExpression(node) && !ts.isCallExpression(node.parent)) {
    addName(node.name.text);
  }
  if (ts.isBindingElement(node) && node.propertyName && ts.isIdentifier(node.propertyName)) {
    addName(node.propertyName.text);
  }
}

function isLogLine(node) {
  return (
    ts.isObjectLiteralExpression(node) &&
    node.properties.some((field) => ['about', 'event'].includes(field.name?.getText()))
  );
}

function addLoggedNames(node) {
  const isType =
    (ts.isInterfaceDeclaration(node) || ts.isTypeAliasDeclaration(node)) &&
    LOGGED_TYPES.test(node.name.text);
  if (isType || isLogLine(node)) {
    visitNodes(node, addValuesAndFields);
  }
}

function addEnvironmentVariable(node) {
  if (
    ts.isPropertyAccessExpression(node) &&
    node.expression.getText().endsWith('process.env') &&
    ts.isIdentifier(node.name)
  ) {
    addName(node.name.text);
  }
}

MESSAGE_FILES.flatMap(listFiles).forEach((file) => visitNodes(parse(file), addValuesAndFields));
VALUE_FILES.flatMap(listFiles).forEach((file) => visitNodes(parse(file), addValues));
listFiles(LOGGED_FILES).forEach((file) => visitNodes(parse(file), addLoggedNames));
['packages/*/src/*.ts', 'platform/src/*.ts'].flatMap(listFiles).forEach((file) => {
  visitNodes(parse(file), (node) => {
    addEnvironmentVariable(node);
    if (isLogLine(node)) {
      visitNodes(node, addValuesAndFields);
    }
  });
});
listFiles('platform/src/wire*.ts').forEach((file) => visitNodes(parse(file), addReadFields));
PLAIN_TEXT_FILES.forEach((file) =>
  readFileSync(file, 'utf8')
    .split(/[\s[\]{}",]+/)
    .forEach(addName),
);

if (process.argv.includes('--write')) {
  writeFileSync(PAGE, `${[...names].sort().join('\n')}\n`);
} else {
  const missing = findMissingNames();
  missing.forEach((name) => console.error(`${PAGE}: no source contains the name ${name}`));
  process.exitCode = missing.length > 0 ? 1 : 0;
}

/** Lists the names of the page that neither a source nor a template contains. */
function findMissingNames() {
  const sources = ['packages', 'platform', 'fakes', 'bench', 'scripts', 'deploy'].flatMap(
    (folder) => listFiles(`${folder}/**`).filter((file) => !file.includes('/test/')),
  );
  const text = sources.map((file) => readFileSync(file, 'utf8')).join('\n');
  const words = new Set(text.match(/[A-Za-z_$][\w$]*/g));
  return readFileSync(PAGE, 'utf8')
    .split('\n')
    .filter((name) => name !== '' && !words.has(name) && !text.includes(name));
}
