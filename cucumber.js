export default {
  paths: [
    'packages/*/test/**/*.feature',
    'platform/test/**/*.feature',
    'fakes/test/**/*.feature',
    'bench/test/**/*.feature',
    'features/**/*.feature',
  ],
  import: [
    'packages/*/test/**/*.ts',
    'platform/test/**/*.ts',
    'fakes/test/**/*.ts',
    'bench/test/**/*.ts',
    'features/**/*.ts',
  ],
  format: ['progress'],
};
