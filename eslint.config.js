import typescriptEslint from 'typescript-eslint';

const CLOCK_MESSAGE =
  'Use the timer service (or the injected clock); nothing else reads the clock.';
const RANDOM_MESSAGE = 'Use the injected random source.';

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
              {name, message: 'A process starts no other process.'},
              {
                name: `node:${name}`,
                message: 'A process starts no other process.',
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
    // The soak runs the real programs as processes of their own.
    files: ['packages/soak/src/gateway_process.ts'],
    rules: {'no-restricted-imports': 'off'},
  },
);
