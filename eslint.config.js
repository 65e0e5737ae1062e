import { configs, plugins, rules } from 'eslint-config-airbnb-extended';

const TEST_FILES = ['**/test/**/*.ts', 'features/**/*.ts'];

/** Headers, calls and keys of the platform; only the adapter in platform/ may contain them. */
const PLATFORM_NAMES = [
  '^x-(server|not-executed|expect-|prefix-|token-|piece|inputs|tenant|timeout-ms|instance|cold-ms|request-urgency|duty|fencing)',
  '^kv-(from|fetch)',
  '^(server-leaving|store-era)$',
  '^\\/-\\/(kv|stage|report|readyz)',
  '^(servers|op|status)\\/',
].join('|');

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', '.run/**', 'target/**', 'journal/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  rules.typescript.typescriptEslintStrict,
  {
    settings: { n: { version: '>=20.19' } },
    rules: {
      // Prettier owns the layout.
      '@stylistic/arrow-parens': 'off',
      '@stylistic/implicit-arrow-linebreak': 'off',
      '@stylistic/function-paren-newline': 'off',
      '@stylistic/object-curly-newline': 'off',
      '@stylistic/operator-linebreak': 'off',
      '@stylistic/indent': 'off',
      '@stylistic/indent-binary-ops': 'off',
      '@stylistic/newline-per-chained-call': 'off',
      '@stylistic/generator-star-spacing': 'off',
      '@stylistic/max-len': 'off',
      '@stylistic/quotes': 'off',
      '@stylistic/no-confusing-arrow': 'off',
      '@stylistic/brace-style': 'off',
      '@stylistic/wrap-iife': 'off',
      '@stylistic/no-mixed-operators': 'off',
      '@stylistic/spaced-comment': 'off',
      '@stylistic/no-extra-parens': 'off',
      // House style: named exports only, exported function first, helpers below it.
      'import-x/prefer-default-export': 'off',
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, variables: false }],
      // Tasks are written straight down: loops that await, generators and `continue` are wanted.
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use for…of.' },
        { selector: 'TSEnumDeclaration', message: 'Use a string union.' },
        { selector: 'WithStatement', message: 'Not allowed.' },
      ],
      'import-x/extensions': ['error', 'always', { ignorePackages: true }],
      '@typescript-eslint/promise-function-async': 'off',
      // TypeScript checks that a switch over a string union is complete.
      'default-case': 'off',
      'consistent-return': 'off',
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
      complexity: ['error', 12],
      // Static create methods need private constructors with parameter properties.
      'no-useless-constructor': 'off',
      'no-empty-function': 'off',
      'no-underscore-dangle': 'off',
      '@typescript-eslint/no-empty-function': 'off',
      '@typescript-eslint/no-useless-constructor': 'off',
    },
  },
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: false,
        project: [
          'packages/*/tsconfig.json',
          'platform/tsconfig.json',
          'fakes/tsconfig.json',
          'bench/tsconfig.json',
          'tsconfig.tests.json',
        ],
        tsconfigRootDir: process.cwd(),
      },
    },
    rules: {
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
    },
  },
  {
    // Names of the users' platform stay inside platform/.
    files: ['packages/*/src/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use for…of.' },
        { selector: 'TSEnumDeclaration', message: 'Use a string union.' },
        { selector: 'WithStatement', message: 'Not allowed.' },
        {
          selector: `Literal[value=/${PLATFORM_NAMES}/i]`,
          message: 'A name of the platform: translate it in platform/.',
        },
        {
          selector: `TemplateElement[value.raw=/${PLATFORM_NAMES}/i]`,
          message: 'A name of the platform: translate it in platform/.',
        },
      ],
    },
  },
  {
    files: ['**/*.mjs', '**/*.cjs', 'eslint.config.js', 'cucumber.js'],
    rules: {
      'no-console': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'n/no-sync': 'off',
      'n/no-process-exit': 'off',
    },
  },
  {
    files: TEST_FILES,
    rules: {
      'max-lines-per-function': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      // Cucumber steps share state in the world.
      'no-param-reassign': ['error', { props: false }],
    },
  },
];
