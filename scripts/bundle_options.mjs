/** What all bundles of this project have in common. */

export const bundleOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  logLevel: 'warning',
};

/**
 * Modules of Node that libraries ask for at their start and use seldom or
 * never: they are loaded at their first use.
 */
const SELDOM_USED = [
  'child_process',
  'dns',
  'http2',
  'https',
  'perf_hooks',
  'tls',
  'zlib',
];

/**
 * What the daemon uses of libraries whose index brings much more: undici's
 * `fetch`, caches and mocks, the default metrics of prom-client.
 */
const PARTS = {
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

/** Endpoints speak HTTP/1.1; undici's part for HTTP/2 loads much of Node. */
const NO_HTTP2 = `
  module.exports = () => {
    throw new Error('Could not open an HTTP/2 connection: it is left out');
  };`;

/** Loads modules of Node at their first use. */
const lazyModules = {
  name: 'lazy-modules',
  setup(build) {
    const filter = new RegExp(`^(node:)?(${SELDOM_USED.join('|')})$`);
    build.onResolve({filter}, ({path, namespace, kind}) =>
      // An `import` copies the names of a module, and so needs it at once.
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

/** Takes only parts of some libraries. */
const libraryParts = {
  name: 'library-parts',
  setup(build) {
    const filter = new RegExp(`^(${Object.keys(PARTS).join('|')})$`);
    build.onResolve({filter}, ({path}) => ({path, namespace: 'parts'}));
    build.onLoad({filter: /.*/, namespace: 'parts'}, ({path}) => ({
      contents: PARTS[path],
      resolveDir: process.cwd(),
    }));
    build.onLoad({filter: /undici\/lib\/dispatcher\/client-h2\.js$/}, () => ({
      contents: NO_HTTP2,
    }));
  },
};

/** The same for a daemon, which should start fast and stay small. */
export const daemonBundleOptions = {
  ...bundleOptions,
  minify: true,
  plugins: [lazyModules, libraryParts],
};
