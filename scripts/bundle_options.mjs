/** Options that all bundles of this project share. */

export const bundleOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  logLevel: 'warning',
};

/**
 * Node modules that libraries `require` at start-up but rarely or never use.
 * They are loaded at their first use.
 */
const LAZY_MODULES = [
  'child_process',
  'dns',
  'http2',
  'https',
  'perf_hooks',
  'tls',
  'zlib',
];

/**
 * Replacements for the index of libraries that would load much more than the
 * daemon uses: undici's `fetch`, caches and mocks, and the default metrics of
 * prom-client.
 */
const LIBRARY_PARTS = {
  undici: `
    const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
    Dispatcher.prototype.request = require('undici/lib/api/api-request.js');
    exports.Client = require('undici/lib/dispatcher/client.js');
    exports.Pool = require('undici/lib/dispatcher/pool.js');`,
  'prom-client': `
    exports.Counter = require('prom-client/lib/counter.js');
    exports.Gauge = require('prom-client/lib/gauge.js');
    exports.Histogram = require('prom-client/lib/histogram.js');
    exports.Registry = require('prom-client/lib/registry.js');`,
};

/**
 * Replaces undici's HTTP/2 client, which loads much of Node; endpoints use
 * HTTP/1.1.
 */
const HTTP2_STUB = `
  module.exports = () => {
    throw new Error('Could not open an HTTP/2 connection: not bundled');
  };`;

/** Replaces `require` of rarely used Node modules with a lazy proxy. */
const lazyModules = {
  name: 'lazy-modules',
  setup(build) {
    const filter = new RegExp(`^(node:)?(${LAZY_MODULES.join('|')})$`);
    build.onResolve({filter}, ({path, namespace, kind}) =>
      // An `import` copies the module's names, which would load it at once.
      namespace === 'lazy' || kind !== 'require-call'
        ? {path, external: true}
        : {path: path.replace('node:', ''), namespace: 'lazy'},
    );
    build.onLoad({filter: /.*/, namespace: 'lazy'}, ({path}) => ({
      contents: `
        let loaded;
        const load = () => (loaded ??= require('node:${path}'));
        module.exports = new Proxy({}, {
          get: (_, name) => load()[name],
          has: (_, name) => name in load(),
        });`,
    }));
  },
};

/** Replaces some libraries with the parts of them that are used. */
const libraryParts = {
  name: 'library-parts',
  setup(build) {
    const filter = new RegExp(`^(${Object.keys(LIBRARY_PARTS).join('|')})$`);
    build.onResolve({filter}, ({path}) => ({path, namespace: 'parts'}));
    build.onLoad({filter: /.*/, namespace: 'parts'}, ({path}) => ({
      contents: LIBRARY_PARTS[path],
      resolveDir: process.cwd(),
    }));
    build.onLoad({filter: /undici\/lib\/dispatcher\/client-h2\.js$/}, () => ({
      contents: HTTP2_STUB,
    }));
  },
};

/** Options for the daemon, which should start fast and use little memory. */
export const daemonBundleOptions = {
  ...bundleOptions,
  minify: true,
  plugins: [lazyModules, libraryParts],
};
