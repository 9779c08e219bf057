import tseslint from 'typescript-eslint';

/** Builds the rule that keeps a layer from importing the layers above it. */
function forbidImports(folder, layers) {
  return {
    files: [`src/${folder}/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            ...layers.map(layer => ({
              group: [`**/${layer}/**`],
              message: `The layer ${folder} may not import this layer.`,
            })),
            {group: ['**/testing/**', '**/tools/**']},
            PLATFORM_IMPORTS,
          ],
        },
      ],
    },
  };
}

/**
 * Words of the wire of the deployment's platform. They stand in `platform/`
 * alone, which translates them.
 */
const WIRE_WORDS =
  '/X-Attempt-Id|X-Response-Stamp|X-Not-Executed|X-Expect-Instance|X-Prompt-Prefix|X-Token-Usage|X-Server-Load|AllowedRegions|ColdPerS|X-Cold-Ms|X-Deadline-Ms|X-Tenant|ColdLeftMs|BeatAddr|PathPrefix|GoalMs|PARSLEYPOND_NODE_FILE|[/]parsleypond[/](resolve|readyz|config|rollouts|instances|report|kv|hold|drain)/';

/** Keeps the platform's wire out of the product. */
const keepWireOut = {
  files: ['src/**/*.ts', 'testing/**/*.ts', 'tools/**/*.ts'],
  rules: {
    'no-restricted-syntax': [
      'error',
      ...['Literal[value=%]', 'TemplateElement[value.raw=%]'].map(selector => ({
        selector: selector.replace('%', WIRE_WORDS),
        message: 'Words of the wire stand in platform/ only.',
      })),
    ],
  },
};

/** Nothing outside `platform/` imports from it. */
const PLATFORM_IMPORTS = {
  group: ['**/platform/**'],
  message: 'Nothing imports from platform/; it hands its functions over.',
};

export default tseslint.config(
  {ignores: ['dist/**', 'target/**', 'node_modules/**', '.tmp/**']},
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    rules: {
      eqeqeq: 'error',
      'no-var': 'error',
      'prefer-const': 'error',
      'max-params': ['error', 4],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase']},
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
          leadingUnderscore: 'allow',
        },
      ],
    },
  },
  {
    // It runs before anything is bundled.
    files: ['scripts/launcher.cjs'],
    rules: {'@typescript-eslint/no-require-imports': 'off'},
  },
  forbidImports('protocol', ['state', 'coordination', 'transport', 'cli']),
  forbidImports('state', ['coordination', 'transport', 'cli']),
  forbidImports('coordination', ['transport', 'cli']),
  forbidImports('transport', ['cli']),
  forbidImports('cli', []),
  keepWireOut,
);
