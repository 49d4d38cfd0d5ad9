import gts from 'gts';
import {FUNCTION_VERBS} from './eslint.verbs.mjs';

const VERB_PATTERN = `^(${FUNCTION_VERBS.join('|')})([A-Z0-9]|$)`;

const TEST_PACKAGES = '{stand-ins,testing,proof,measure,demo,soak}';

const TIME_AND_CHANCE = [
  {object: 'Date', property: 'now', message: 'Use the clock of foundation.'},
  {
    object: 'performance',
    property: 'now',
    message: 'Use the clock of foundation.',
  },
  {
    object: 'Math',
    property: 'random',
    message: 'Use the random source of foundation.',
  },
  {
    object: 'describe',
    property: 'only',
    message: 'Focused tests hide failures.',
  },
  {object: 'it', property: 'only', message: 'Focused tests hide failures.'},
  {object: 'it', property: 'skip', message: 'Skipped tests hide failures.'},
];

const NO_DEFAULT_EXPORT = {
  selector: 'ExportDefaultDeclaration',
  message: 'Use named exports.',
};

const NO_NEW_DATE = {
  selector: "NewExpression[callee.name='Date'][arguments.length=0]",
  message: 'Use the clock of foundation.',
};

const NO_THROW = {
  selector: 'ThrowStatement',
  message: 'Return an Either, or use assertInvariant for a broken invariant.',
};

export default [
  ...gts,
  {
    ignores: [
      'dist/**',
      'target/**',
      'journal/**',
      'node_modules/**',
      'packages/admin/src/generated/**',
    ],
  },
  {
    files: ['**/*.ts'],
    rules: {
      'no-restricted-properties': ['error', ...TIME_AND_CHANCE],
      'no-restricted-syntax': [
        'error',
        NO_DEFAULT_EXPORT,
        NO_NEW_DATE,
        NO_THROW,
      ],
      'no-restricted-imports': [
        'error',
        {
          paths: [
            'worker_threads',
            'node:worker_threads',
            'cluster',
            'node:cluster',
          ],
          patterns: [
            {
              group: ['@siskinplank/*/*'],
              message: 'Import a package through its index.',
            },
          ],
        },
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: ['function', 'classMethod'],
          format: ['camelCase'],
          custom: {regex: VERB_PATTERN, match: true},
        },
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'enumMember', format: ['PascalCase']},
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      'max-lines': [
        'error',
        {max: 400, skipBlankLines: true, skipComments: true},
      ],
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
    },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: [
      `packages/${TEST_PACKAGES}/**`,
      '**/*.test.ts',
      'packages/*/src/testing/**',
    ],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: [
            'worker_threads',
            'node:worker_threads',
            'child_process',
            'node:child_process',
            'cluster',
            'node:cluster',
          ],
          patterns: [
            {
              group: ['@siskinplank/*/*'],
              message: 'Import a package through its index.',
            },
            {
              group: [
                '@siskinplank/stand-ins',
                '@siskinplank/testing',
                '@siskinplank/proof',
                '@siskinplank/measure',
                '@siskinplank/demo',
                '@siskinplank/soak',
                '@siskinplank/platform-stand-ins',
              ],
              message: 'The product does not use test code.',
            },
          ],
        },
      ],
    },
  },
  {
    files: [
      'packages/foundation/src/clock.ts',
      'packages/foundation/src/random.ts',
    ],
    rules: {'no-restricted-properties': 'off'},
  },
  {
    files: ['packages/foundation/src/invariant.ts', '**/*.test.ts'],
    rules: {'no-restricted-syntax': ['error', NO_DEFAULT_EXPORT]},
  },
  {
    files: ['vitest.config.ts'],
    rules: {'no-restricted-syntax': 'off'},
  },
];
