/** Stand-ins of what mothrill serves, with a load and experiment tool. */
package io.mothrill.lab;
