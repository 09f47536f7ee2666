/**
 * Keeps this instance's view of the declared configuration and the registered upstreams up to date.
 */
package io.mothrill.core.forward.view;
