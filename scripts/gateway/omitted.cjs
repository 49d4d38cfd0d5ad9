/** Stands for modules that libraries require and the gateway never calls. */
module.exports = {};
