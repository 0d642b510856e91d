import typescriptEslint from 'typescript-eslint';

const CLOCK_MESSAGE = 'Use the injected timer service or clock instead.';
const SPAWN_MESSAGE =
  'Child processes, worker threads and clusters are not allowed here.';
const RANDOM_MESSAGE = 'Use the injected random source instead.';

export default typescriptEslint.config(
  {ignores: ['**/dist/**', 'target/**', '**/node_modules/**', 'reports/**']},
  ...typescriptEslint.configs.recommended,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    rules: {
      'prefer-const': 'error',
      'no-var': 'error',
      eqeqeq: ['error', 'always'],
      curly: ['error', 'all'],
      'no-nested-ternary': 'error',
      'no-param-reassign': 'error',
      'prefer-arrow-callback': 'error',
      'no-restricted-exports': [
        'error',
        {restrictDefaultExports: {direct: true}},
      ],
      'no-restricted-globals': [
        'error',
        {name: 'setTimeout', message: CLOCK_MESSAGE},
        {name: 'setInterval', message: CLOCK_MESSAGE},
        {name: 'performance', message: CLOCK_MESSAGE},
      ],
      'no-restricted-properties': [
        'error',
        {object: 'Date', property: 'now', message: CLOCK_MESSAGE},
        {object: 'Math', property: 'random', message: RANDOM_MESSAGE},
      ],
      'no-restricted-imports': [
        'error',
        {
          paths: ['child_process', 'worker_threads', 'cluster'].flatMap(
            name => [
              {name, message: SPAWN_MESSAGE},
              {
                name: `node:${name}`,
                message: SPAWN_MESSAGE,
              },
            ],
          ),
        },
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase']},
      ],
    },
  },
  {
    // The soak runs the gateways as child processes, and so do its tests.
    files: [
      'packages/soak/src/gateway_process.ts',
      'packages/soak/test/support/single_process.ts',
    ],
    rules: {'no-restricted-imports': 'off'},
  },
);
