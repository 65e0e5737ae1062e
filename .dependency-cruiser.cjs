/** Rules between packages; checked in the lint step. */
module.exports = {
  forbidden: [
    {
      name: 'one-door',
      comment:
        'Other packages import a package only through its src/index.ts, never by a deep path.',
      severity: 'error',
      from: { path: '^(packages/[^/]+|platform|fakes|bench)/' },
      to: {
        path: '^(packages/[^/]+|fakes)/(src|dist)/',
        pathNot: ['^$1/', '/(src|dist)/index\\.'],
      },
    },
    {
      name: 'decisions-know-no-encoder',
      comment: 'Only wire modules encode messages.',
      severity: 'error',
      from: { path: '^packages/[^/]+/src/', pathNot: ['/wire[^/]*\\.ts$', '/frame[^/]*\\.ts$'] },
      to: { path: 'node_modules/(cbor-x|eventsource-parser)/' },
    },
    {
      name: 'peers-stand-apart',
      comment: 'A peer package never imports another peer package.',
      severity: 'error',
      from: {
        path: '^packages/(caller|engine|pool|service|weightStore|store|hostList|metrics|node|routerLink|provider)/',
      },
      to: {
        path: '^packages/(caller|operator|engine|pool|service|weightStore|store|hostList|metrics|node|routerLink|provider|entry|gate|router|daemon|cli)/',
        pathNot: '^packages/$1/',
      },
    },
    {
      name: 'product-starts-no-process',
      comment: 'A process of the product starts no other.',
      severity: 'error',
      from: { path: '^packages/[^/]+/src/' },
      to: { path: '^(node:)?(child_process|worker_threads|cluster)$' },
    },
    {
      name: 'product-knows-no-platform',
      comment: 'The adapter uses the product, never the other way round.',
      severity: 'error',
      from: { path: '^packages/' },
      to: { path: '^platform/' },
    },
    {
      name: 'no-circle',
      severity: 'error',
      from: {},
      to: { circular: true },
    },
  ],
  options: {
    doNotFollow: { path: ['node_modules', 'dist'] },
    exclude: { path: ['/dist/', '/test/'] },
    tsPreCompilationDeps: true,
    enhancedResolveOptions: {
      exportsFields: ['exports'],
      conditionNames: ['import', 'types', 'default'],
    },
  },
};
