/** What all bundles of this project have in common. */
export const bundleOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  logLevel: 'warning',
};
