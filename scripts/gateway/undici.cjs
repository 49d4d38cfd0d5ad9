/**
 * The parts of undici that the gateway uses; fetch and its globals stay out.
 * The main module of undici adds the methods of its API in the same way.
 */
const api = require('undici/lib/api');
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const Pool = require('undici/lib/dispatcher/pool.js');

Object.assign(Dispatcher.prototype, api);

module.exports = {Pool};
